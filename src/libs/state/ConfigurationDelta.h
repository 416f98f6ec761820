#pragma once

#include "state/Configuration.h"
#include "state/Identifiers.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace anvilsaddle {

/// The difference between two versions of the configuration. Value type.
struct ConfigurationDelta {
  /// Version to which the delta can be applied.
  std::uint64_t BaseVersion = 0;
  std::uint64_t Version = 0;
  /// Routes that are new or differ from the base.
  std::vector<Route> ChangedRoutes;
  std::vector<RouteName> RemovedRoutes;
  /// All services and limits of the newer version.
  std::map<ServiceName, Service> Services;
  CallerLimits Limits;
  /// Customers that are new or differ from the base.
  std::map<CustomerName, Customer> ChangedCustomers{};
  std::vector<CustomerName> RemovedCustomers{};

  auto operator<=>(const ConfigurationDelta &) const = default;
};

/// Returns the newer version, with the routes of the base first and in their order; nothing if the
/// delta belongs to another base. Precondition: the names of the base's routes are unique.
/// Thread-safe.
std::optional<Configuration> applyDelta(const Configuration &Base, const ConfigurationDelta &Delta);

} // namespace anvilsaddle
