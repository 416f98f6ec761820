#include "transport/ForwardHandler.h"

#include "transport/RequestFlows.h"

namespace anvilsaddle {

void ForwardHandler::onRequest(HttpExchange &Exchange) { this->Flows.onForwardedRequest(Exchange); }

void ForwardHandler::onCallerDisconnected(HttpExchange &Exchange) {
  this->Flows.onCallerDisconnected(Exchange);
}

} // namespace anvilsaddle
