#pragma once

#include "coordination/Refusal.h"
#include "coordination/RequestHead.h"
#include "state/PlatformSettings.h"
#include "state/TeamSettings.h"

#include <variant>
#include <vector>

namespace anvilsaddle {

class Sealer;
class SettingsSnapshot;

/// A request whose customer, route and service are known.
struct RoutedRequest {
  Customer Caller;
  Route Path;
  Service Destination;
  /// Regions that may serve the request: the entry's own first, then as the platform lists them.
  std::vector<RegionName> Regions;

  auto operator<=>(const RoutedRequest &) const = default;
};

/// Finds who is calling and what may serve the call. Stateless apart from its settings of
/// construction; not thread-safe only as far as the sealer is not.
class RequestRouter {
public:
  /// Precondition: Seals outlives the router.
  RequestRouter(RegionName OwnRegion, const Sealer &Seals);

  /// Checks a credential `Bearer <team>.<customer>.<secret>`; null if it is not valid.
  const Customer *authenticate(const SettingsSnapshot &Settings,
                               const std::string &Authorization) const;

  /// Refuses unknown callers, unknown routes and services, and requests whose home regions do not
  /// include the entry's own region.
  std::variant<RoutedRequest, Refusal> route(const SettingsSnapshot &Settings,
                                             const RequestHead &Head) const;

  /// Regions that may serve requests of the customer, the entry's own first. Regions that the
  /// platform does not list are left out.
  std::vector<RegionName> allowedRegions(const SettingsSnapshot &Settings,
                                         const Customer &Caller) const;

private:
  RegionName OwnRegion;
  const Sealer &Seals;
};

} // namespace anvilsaddle
