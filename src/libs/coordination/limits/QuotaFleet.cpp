#include "coordination/limits/QuotaFleet.h"

#include "coordination/membership/RendezvousHash.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace anvilsaddle {

namespace {

/// A lost entry is taken for one behind a partition for this long. VMs that were replaced without
/// notice would otherwise reduce the quotas for ever.
constexpr Duration LostEntryRetention = std::chrono::minutes(30);
/// Lets one entry in eight die without an effect on the quotas. It is within the tolerated
/// overshoot if the lost ones still run.
constexpr double LostEntryAllowance = 1.15;
/// Groups of the fleet at least: seldom are the coordinators of all of them dead or paused at once.
/// More would exchange more sums.
constexpr std::size_t MinGroups = 3;

} // namespace

void QuotaFleet::setEntries(std::vector<QuotaEntry> Entries, TimePoint Now) {
  this->Live.clear();
  std::map<RegionName, Group> Regions;
  for (QuotaEntry &Each : Entries) {
    if (Each.IsLeaving && Each.Address != this->Self) {
      this->Assumed.erase(Each.Address);
      continue;
    }
    Regions.emplace(Each.Region, 0);
    this->Assumed[Each.Address] = Now;
    this->Live.push_back(std::move(Each));
  }
  this->RegionCount = 0;
  for (auto &[Region, Index] : Regions) {
    Index = this->RegionCount++;
  }
  this->RegionIndexes.clear();
  for (const QuotaEntry &Each : this->Live) {
    this->RegionIndexes[Each.Address] = Regions[Each.Region];
  }
  std::erase_if(this->Assumed,
                [Now](const auto &Each) { return Now - Each.second >= LostEntryRetention; });
  this->Cache.clear();
}

std::size_t QuotaFleet::assumedCount() const {
  return std::max<std::size_t>(1, this->Assumed.size());
}

double QuotaFleet::liveShare() const {
  const auto Count = static_cast<double>(std::max<std::size_t>(1, this->Live.size()));
  return std::min(1.0, LostEntryAllowance * Count / static_cast<double>(this->assumedCount()));
}

std::size_t QuotaFleet::groupsPerRegion() const {
  const std::size_t Regions = std::max<std::size_t>(1, this->RegionCount);
  return (MinGroups + Regions - 1) / Regions;
}

QuotaFleet::Group QuotaFleet::groupOf(const CustomerName &Customer,
                                      const std::string &Entry) const {
  const std::vector<CoordinatedGroup> &Groups = this->groups(Customer);
  // A coordinator belongs to its own group.
  for (Group Index = 0; Index < Groups.size(); ++Index) {
    if (Groups[Index].Coordinator == Entry) {
      return Index;
    }
  }
  const auto Region = this->RegionIndexes.find(Entry);
  if (Region == this->RegionIndexes.end()) {
    return 0;
  }
  const std::size_t Divisions = this->groupsPerRegion();
  return (Region->second * Divisions + rendezvousScore(Customer.str(), Entry) % Divisions) %
         Groups.size();
}

const std::string &QuotaFleet::coordinatorOf(const CustomerName &Customer,
                                             const std::string &Entry) const {
  return this->groups(Customer)[this->groupOf(Customer, Entry)].Coordinator;
}

bool QuotaFleet::isCoordinator(const CustomerName &Customer) const {
  return this->coordinatorOf(Customer, this->Self) == this->Self;
}

const std::vector<QuotaFleet::CoordinatedGroup> &
QuotaFleet::groups(const CustomerName &Customer) const {
  const auto Found = this->Cache.find(Customer);
  if (Found != this->Cache.end()) {
    return Found->second;
  }
  std::vector<std::vector<std::pair<std::uint64_t, std::string>>> Candidates(this->RegionCount);
  for (const QuotaEntry &Each : this->Live) {
    Candidates[this->RegionIndexes.at(Each.Address)].emplace_back(
        rendezvousScore(Customer.str(), Each.Address), Each.Address);
  }
  std::vector<CoordinatedGroup> Result;
  const std::size_t Divisions = this->groupsPerRegion();
  for (auto &Region : Candidates) {
    const std::size_t Count = std::min(Divisions, Region.size());
    std::partial_sort(Region.begin(), Region.begin() + static_cast<std::ptrdiff_t>(Count),
                      Region.end(), std::greater<>());
    // A small region has fewer entries than groups; the first of them coordinates several.
    for (std::size_t Index = 0; Index < Divisions; ++Index) {
      Result.push_back({Region[Index < Count ? Index : 0].second,
                        (Region.size() + Divisions - 1 - Index) / Divisions});
    }
  }
  if (Result.empty()) {
    Result.push_back({this->Self, 1});
  }
  return this->Cache.emplace(Customer, std::move(Result)).first->second;
}

} // namespace anvilsaddle
