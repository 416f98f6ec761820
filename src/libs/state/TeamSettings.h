#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilsaddle {

enum class RequestClass { Interactive, Bulk };

struct Customer {
  CustomerName Name;
  /// SHA-256 of each valid secret, lower-case hexadecimal.
  std::vector<std::string> KeyHashes;
  /// Regions that may serve and store requests; empty means any region.
  std::vector<RegionName> HomeRegions;
  /// Share of contended capacity relative to other customers.
  std::uint32_t Weight = 1;
  /// Bound of requests queued and running at one entry.
  std::uint32_t MaxInFlight = 100;

  auto operator<=>(const Customer &) const = default;
};

struct Route {
  RouteName Name;
  CustomerName Customer;
  /// Matches the path itself and everything below it; the longest match wins.
  std::string PathPrefix;
  std::vector<std::string> Methods;
  ServiceName Service;
  /// True if running a request twice does no harm.
  bool Repeatable = false;
  RequestClass Class = RequestClass::Interactive;
  Duration Deadline = std::chrono::seconds(1);

  auto operator<=>(const Route &) const = default;
};

/// Content of the path `teams/<team>`. Value type.
struct TeamSettings {
  TeamName Name;
  std::vector<Customer> Customers;
  std::vector<Route> Routes;

  auto operator<=>(const TeamSettings &) const = default;
};

} // namespace anvilsaddle
