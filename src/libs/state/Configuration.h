#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

/// A service of a route, with its weight in the distribution of the route's requests.
struct WeightedService {
  ServiceName Service;
  double Weight = 1;

  auto operator<=>(const WeightedService &) const = default;
};

/// Handling of the requests for one host and path prefix. Value type.
struct Route {
  RouteName Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// True if a request may be executed more than once.
  bool Idempotent = false;
  /// Longest time for which a request may wait for its response after its arrival. A caller that
  /// waits less long can state a shorter time in the request.
  Duration Timeout{0};
  /// Time within which a response has the highest value for the caller.
  Duration LatencyObjective{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Maximum number of targets to which one request may be sent.
  std::uint32_t MaxTargets = 1;
  /// Never empty.
  std::vector<WeightedService> Services;
  /// Regions that may serve the requests; empty if all regions may.
  std::set<RegionName> HomeRegions;
  /// Responses are usually too large to be buffered, so that their end is not known when they
  /// begin.
  bool HasLargeResponses = false;
  /// Requests need no API key, also if the configuration has customers.
  bool IsPublic = false;

  auto operator<=>(const Route &) const = default;
};

/// A service as configured by operators. Value type.
struct Service {
  ServiceName Name;
  std::string HealthPath;
  /// Maximum rate of requests from all entries together to a cold target; 0 means no limit.
  double ColdRequestsPerSecond = 0;

  auto operator<=>(const Service &) const = default;
};

/// SHA-256 digest of an API key.
using ApiKeyDigest = std::array<std::uint8_t, 32>;

/// A customer, whose requests are recognized by API keys. Value type.
struct Customer {
  CustomerName Name;
  /// Digests only, so that no dump or message can disclose a key.
  std::set<ApiKeyDigest> Keys;
  /// Takes precedence over the priority of the route; nothing if the route decides. 0 is the most
  /// urgent.
  std::optional<std::uint32_t> Priority;
  /// Regions that may serve the requests, in addition to the restriction of the route; empty if all
  /// regions may.
  std::set<RegionName> HomeRegions;
  /// Limit for all entries together; 0 means no limit.
  double RequestsPerSecond = 0;
  /// Requests that may exceed the rate at once.
  double Burst = 0;

  auto operator<=>(const Customer &) const = default;
};

/// Size limits and timeouts for the connections and requests of callers. Value type.
struct CallerLimits {
  std::size_t HeadBytes = std::size_t{16} * 1024;
  std::size_t BodyBytes = std::size_t{64} << 20;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);

  auto operator<=>(const CallerLimits &) const = default;
};

/// One version of the configuration by operators. Value type.
struct Configuration {
  /// Increases with each change, not necessarily by one.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<ServiceName, Service> Services;
  CallerLimits Limits;
  /// Empty if callers need no API keys.
  std::map<CustomerName, Customer> Customers;

  auto operator<=>(const Configuration &) const = default;
};

} // namespace anvilsaddle
