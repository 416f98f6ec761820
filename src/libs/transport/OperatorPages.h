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
class RequestFlows;

/// Operators' interface: `/status`, `/targets`, `/audit?after=N`, `/explain?host=H&path=P` in JSON,
/// and `/metrics` in the text exposition format. Reads only. Not thread-safe.
class OperatorPages final : public HttpHandler {
public:
  struct Parts {
    const Dispatcher &Decisions;
    const Membership &Members;
    const RequestFlows &Flows;
    const AuditTrail &Audit;
    Metrics &Counters;
    const Clock &Time;
  };

  /// Precondition: all parts outlive the object.
  explicit OperatorPages(const Parts &Uses) : Uses(Uses) {}

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &) override {}

private:
  std::string status() const;
  std::string targets() const;
  std::string audit(std::string_view Target) const;
  std::string explain(std::string_view Target) const;

  Parts Uses;
};

} // namespace anvilsaddle
