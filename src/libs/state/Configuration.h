#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

/// One service of a route and its share of the route's requests.
struct WeightedService {
  ServiceName Service;
  double Weight = 1;

  auto operator<=>(const WeightedService &) const = default;
};

/// Requests of one host and path prefix. Value type.
struct Route {
  RouteName Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// True if a request may run more than once.
  bool Idempotent = false;
  /// Longest time for which a request may be kept waiting.
  Duration Timeout{0};
  /// Time within which an answer is worth most to the caller.
  Duration LatencyObjective{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Most targets that one request may be sent to.
  std::uint32_t MaxTargets = 1;
  /// Never empty.
  std::vector<WeightedService> Services;
  /// Regions that may serve the requests; empty means all.
  std::set<RegionName> HomeRegions;

  auto operator<=>(const Route &) const = default;
};

/// A service as operators describe it. Value type.
struct Service {
  ServiceName Name;
  std::string HealthPath;
  /// Requests per second that a cold target bears, from all entries together; 0 if not limited.
  double ColdRequestsPerSecond = 0;

  auto operator<=>(const Service &) const = default;
};

/// What a caller may send, and how long it may take or stay idle. Value type.
struct CallerLimits {
  std::size_t HeadBytes = std::size_t{16} * 1024;
  std::size_t BodyBytes = std::size_t{64} << 20;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);

  auto operator<=>(const CallerLimits &) const = default;
};

/// One version of what operators configured. Value type.
struct Configuration {
  /// Rises with each change, in uneven steps.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<ServiceName, Service> Services;
  CallerLimits Limits;

  auto operator<=>(const Configuration &) const = default;
};

} // namespace anvilsaddle
