#pragma once

#include "transport/HttpExchange.h"

#include <string>
#include <string_view>

namespace anvilsaddle {

class AuditTrail;
class Clock;
class Dispatcher;
class Membership;
class Metrics;
class ProxyHandler;

/// Operator interface: `/status`, `/targets`, `/customers`, `/audit?after=N`,
/// `/explain?host=H&path=P` with an optional `customer=NAME` in JSON, and `/metrics` in the text
/// exposition format. Read-only. Not thread-safe.
class OperatorPages final : public HttpHandler {
public:
  struct Dependencies {
    const Dispatcher &RequestDispatcher;
    const Membership &Members;
    const ProxyHandler &Proxy;
    const AuditTrail &Audit;
    Metrics &EntryMetrics;
    const Clock &Time;
  };

  /// Precondition: all dependencies outlive the object.
  explicit OperatorPages(const Dependencies &Deps) : Deps(Deps) {}

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &, CloseReason) override {}

private:
  std::string renderMetrics() const;
  std::string renderStatus() const;
  std::string renderTargets() const;
  std::string renderCustomers() const;
  std::string renderAudit(std::string_view RequestTarget) const;
  std::string renderExplanation(std::string_view RequestTarget) const;

  Dependencies Deps;
};

} // namespace anvilsaddle
