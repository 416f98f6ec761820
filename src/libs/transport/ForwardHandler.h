#pragma once

#include "transport/HttpExchange.h"

namespace anvilsaddle {

class ProxyHandler;

/// Handles requests that entries of other regions forward. Not thread-safe.
class ForwardHandler final : public HttpHandler {
public:
  /// Precondition: the proxy outlives the handler.
  explicit ForwardHandler(ProxyHandler &Proxy) : Proxy(Proxy) {}

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &Exchange, CloseReason Reason) override;
  void onUnanswered(const UnansweredRequest &Request) override;
  void onRejected(const RejectedRequest &Request) override;

private:
  ProxyHandler &Proxy;
};

} // namespace anvilsaddle
