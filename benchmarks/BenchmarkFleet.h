#pragma once

#include "coordination/RandomSource.h"
#include "state/SettingsStore.h"
#include "state/VmList.h"

#include <cstdint>
#include <random>
#include <string>

namespace anvilsaddle {

/// Sizes of a generated installation. Value type.
struct FleetSize {
  std::uint32_t Services = 10;
  std::uint32_t Targets = 100;
  std::uint32_t Entries = 1;
  std::uint32_t Regions = 1;
  /// Failure domains of each region.
  std::uint32_t DomainsPerRegion = 2;
  std::uint32_t Customers = 1;
  std::uint32_t CustomersPerTeam = 10;
  /// Each route leads to another service.
  std::uint32_t RoutesPerCustomer = 2;
};

/// Random source with a fixed seed.
class FixedRandom final : public RandomSource {
public:
  double uniform() override { return std::uniform_real_distribution<double>(0, 1)(this->Engine); }
  std::uint64_t bits() override { return this->Engine(); }

private:
  std::mt19937_64 Engine{1};
};

/// Text of the path `platform`.
std::string platformText(const FleetSize &Size);
/// Text of the path `teams/team-<Team>`; teams count from 0.
std::string teamText(const FleetSize &Size, std::uint32_t Team);
std::uint32_t teamCount(const FleetSize &Size);
/// Entries `entry-<n>` and targets `target-<n>`, counting from 0, spread over domains and services.
VmList makeVmList(const FleetSize &Size);
/// Offers all texts as revision 1.
void offerAll(SettingsStore &Store, const FleetSize &Size);
/// Authorization header of a customer, counting from 0.
std::string authorizationOf(const FleetSize &Size, std::uint32_t Customer);
/// Path of a request of the customer on one of its routes.
std::string requestPath(const FleetSize &Size, std::uint32_t Customer, std::uint32_t Route);

} // namespace anvilsaddle
