#include "coordination/membership/AddressDirectory.h"

#include <functional>

namespace anvilsaddle {

namespace {

constexpr std::size_t MaxAddresses = 64;
/// A caller needs a second address if the first one fails.
constexpr std::size_t MinAddresses = 2;

std::vector<std::string>
selectReadyAddresses(const std::vector<EntryRecord> &Live,
                     const std::function<bool(const EntryRecord &)> &IsSelected) {
  std::vector<std::string> Result;
  for (const EntryRecord &Each : Live) {
    if (Each.State == EntryState::Ready && IsSelected(Each) && Result.size() < MaxAddresses) {
      Result.push_back(Each.Address);
    }
  }
  return Result;
}

std::set<RegionName> collectHomeRegions(const std::vector<const Route *> &Routes) {
  std::set<RegionName> Result;
  for (const Route *Each : Routes) {
    Result.insert(Each->HomeRegions.begin(), Each->HomeRegions.end());
  }
  return Result;
}

} // namespace

std::vector<std::string> chooseEntryAddresses(const std::vector<EntryRecord> &Live,
                                              const Topology &FleetTopology,
                                              const RegionName &CallerRegion,
                                              const FailureDomainName &CallerDomain,
                                              const std::vector<const Route *> &Routes) {
  std::vector<std::string> Result = selectReadyAddresses(
      Live, [&](const EntryRecord &Each) { return Each.Domain == CallerDomain; });
  if (Result.size() >= MinAddresses) {
    return Result;
  }
  Result = selectReadyAddresses(Live, [&](const EntryRecord &Each) {
    return FleetTopology.regionOf(Each.Domain) == CallerRegion;
  });
  if (!Result.empty()) {
    return Result;
  }
  const std::set<RegionName> HomeRegions = collectHomeRegions(Routes);
  Result = selectReadyAddresses(Live, [&](const EntryRecord &Each) {
    return HomeRegions.contains(FleetTopology.regionOf(Each.Domain));
  });
  if (!Result.empty()) {
    return Result;
  }
  return selectReadyAddresses(Live, [](const EntryRecord &) { return true; });
}

} // namespace anvilsaddle
