#include "transport/ForwardHandler.h"

#include "transport/ProxyHandler.h"

namespace anvilsaddle {

void ForwardHandler::onRequest(HttpExchange &Exchange) { this->Proxy.onForwardedRequest(Exchange); }

void ForwardHandler::onCallerDisconnected(HttpExchange &Exchange) {
  this->Proxy.onCallerDisconnected(Exchange);
}

} // namespace anvilsaddle
