#include "coordination/limits/BudgetEntries.h"

#include <algorithm>
#include <set>

namespace anvilsaddle {

void BudgetEntries::setLive(const std::vector<EntryRecord> &Live, TimePoint Now) {
  this->LiveCount = Live.size();
  std::set<std::string> LiveAddresses;
  for (const EntryRecord &Each : Live) {
    LiveAddresses.insert(Each.Address);
    this->Entries[Each.Address] = {this->FleetTopology.regionOf(Each.Domain),
                                   Each.State == EntryState::Leaving, std::nullopt};
  }
  for (auto &[Address, Each] : this->Entries) {
    if (!Each.CountsUntil && !LiveAddresses.contains(Address)) {
      Each.CountsUntil = Now + (Each.IsLeaving ? this->Window : Retention);
    }
  }
}

bool BudgetEntries::knowsFleet() const { return !this->isIsolated() && this->countsAllRegions(); }

bool BudgetEntries::countsAllRegions() const {
  std::set<RegionName> Counted;
  for (const auto &[Address, Each] : this->Entries) {
    Counted.insert(Each.Region);
  }
  return std::all_of(this->FleetTopology.RegionByDomain.begin(),
                     this->FleetTopology.RegionByDomain.end(),
                     [&](const auto &Domain) { return Counted.contains(Domain.second); });
}

bool BudgetEntries::isIsolated() const {
  return this->LiveCount <= 1 && this->FleetTopology.RegionByDomain.size() > 1;
}

void BudgetEntries::removeExpired(TimePoint Now) {
  std::erase_if(this->Entries, [Now](const auto &Each) {
    return Each.second.CountsUntil && *Each.second.CountsUntil <= Now;
  });
}

RetryShare BudgetEntries::share(TimePoint Now) {
  this->removeExpired(Now);
  const std::size_t Count =
      std::max({std::size_t(1), this->Entries.size(), this->FleetTopology.RegionByDomain.size()});
  if (!this->knowsFleet()) {
    this->KnownSince.reset();
    return {Count, RetryShareReason::FleetUnknown};
  }
  this->KnownSince = this->KnownSince.value_or(Now);
  if (Now - *this->KnownSince < this->Window) {
    return {Count, RetryShareReason::JustStarted};
  }
  return {Count, RetryShareReason::KnownEntries};
}

} // namespace anvilsaddle
