#include "transport/ForwardHandler.h"

#include "transport/ProxyHandler.h"

namespace anvilsaddle {

void ForwardHandler::onRequest(HttpExchange &Exchange) { this->Proxy.onForwardedRequest(Exchange); }

void ForwardHandler::onCallerDisconnected(HttpExchange &Exchange, CloseReason Reason) {
  this->Proxy.onCallerDisconnected(Exchange, Reason);
}

void ForwardHandler::onUnanswered(const UnansweredRequest &Request) {
  this->Proxy.onUnanswered(Request);
}

void ForwardHandler::onRejected(const RejectedRequest &Request) { this->Proxy.onRejected(Request); }

} // namespace anvilsaddle
