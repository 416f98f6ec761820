#pragma once

#include "transport/HttpExchange.h"

namespace anvilsaddle {

class ProxyHandler;

/// Takes requests that entries of other regions pass on. Not thread-safe.
class ForwardHandler final : public HttpHandler {
public:
  /// Precondition: the flows outlive the handler.
  explicit ForwardHandler(ProxyHandler &Flows) : Flows(Flows) {}

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &Exchange) override;

private:
  ProxyHandler &Flows;
};

} // namespace anvilsaddle
