#pragma once

#include "transport/HttpExchange.h"

namespace anvilsaddle {

class RequestFlows;

/// Handles requests that entries of other regions forward. Not thread-safe.
class ForwardHandler final : public HttpHandler {
public:
  /// Precondition: the flows outlive the handler.
  explicit ForwardHandler(RequestFlows &Flows) : Flows(Flows) {}

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &Exchange) override;

private:
  RequestFlows &Flows;
};

} // namespace anvilsaddle
