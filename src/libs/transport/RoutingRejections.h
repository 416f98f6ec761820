#pragma once

#include "state/Configuration.h"
#include "state/Time.h"
#include "transport/HttpExchange.h"

#include <cstdint>
#include <optional>
#include <string>

namespace anvilsaddle {

class Clock;
class Metrics;

/// Responses to requests that the configuration in force doesn't allow, with their log lines and
/// counts.
///
/// A 401 or 404 is final for a caller, so an entry gives one only while it knows all that should be
/// in force. While it doesn't, a newer configuration may allow the request, and the response is a
/// 503 with Retry-After. Not thread-safe.
class RoutingRejections {
public:
  /// Precondition: both objects outlive this one.
  RoutingRejections(Metrics &RequestMetrics, const Clock &Time)
      : RequestMetrics(RequestMetrics), Time(Time) {}

  /// Sets the version of the configuration in force.
  void setVersion(std::uint64_t Value) { this->Version = Value; }
  /// Sets the time up to which the publications are known; nothing before the first confirmation.
  void setKnownAsOf(std::optional<TimePoint> Value) { this->KnownAsOf = Value; }

  /// The request has no valid key. `Id` is that of the request here and below.
  HeadRejection unauthenticated(const std::string &Id, const std::string &Reason, bool IsForwarded);
  /// No route matches, or there is no configuration yet.
  HeadRejection unrouted(const std::string &Id);
  /// Another entry forwards the request, and has routed it by another configuration.
  HeadRejection routedDifferently(const std::string &Id, const ServiceName &Service);
  /// No region is home region of both the route and the customer.
  HeadRejection withoutRegion(const std::string &Id, const Route &MatchedRoute,
                              const Customer &Refused);

private:
  std::string versionText() const;
  std::string stalenessText() const;
  /// True if a newer configuration may be in force elsewhere.
  bool isOutdated() const;

  Metrics &RequestMetrics;
  const Clock &Time;
  std::optional<std::uint64_t> Version;
  std::optional<TimePoint> KnownAsOf;
};

} // namespace anvilsaddle
