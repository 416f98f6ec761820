#include "coordination/AddressDirectory.h"

#include <functional>

namespace anvilsaddle {

namespace {

constexpr std::size_t MaxAddresses = 64;
/// A caller needs another address when one fails.
constexpr std::size_t EnoughNear = 2;

std::vector<std::string> select(const std::vector<MemberRecord> &Live,
                                const std::function<bool(const MemberRecord &)> &IsWanted) {
  std::vector<std::string> Result;
  for (const MemberRecord &Each : Live) {
    if (Each.State == EntryState::Ready && IsWanted(Each) && Result.size() < MaxAddresses) {
      Result.push_back(Each.Address);
    }
  }
  return Result;
}

std::set<RegionName> homeRegions(const std::vector<const Route *> &Routes) {
  std::set<RegionName> Result;
  for (const Route *Each : Routes) {
    Result.insert(Each->HomeRegions.begin(), Each->HomeRegions.end());
  }
  return Result;
}

} // namespace

std::vector<std::string> chooseEntryAddresses(const std::vector<MemberRecord> &Live,
                                              const Topology &Places,
                                              const RegionName &CallerRegion,
                                              const FailureDomainName &CallerDomain,
                                              const std::vector<const Route *> &Routes) {
  std::vector<std::string> Result =
      select(Live, [&](const MemberRecord &Each) { return Each.Domain == CallerDomain; });
  if (Result.size() >= EnoughNear) {
    return Result;
  }
  Result = select(
      Live, [&](const MemberRecord &Each) { return Places.regionOf(Each.Domain) == CallerRegion; });
  if (!Result.empty()) {
    return Result;
  }
  const std::set<RegionName> Home = homeRegions(Routes);
  Result = select(
      Live, [&](const MemberRecord &Each) { return Home.contains(Places.regionOf(Each.Domain)); });
  if (!Result.empty()) {
    return Result;
  }
  return select(Live, [](const MemberRecord &) { return true; });
}

} // namespace anvilsaddle
