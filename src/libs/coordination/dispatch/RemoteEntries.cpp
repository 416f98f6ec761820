#include "coordination/dispatch/RemoteEntries.h"

#include "coordination/membership/RendezvousHash.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxEntriesPerRegion = 2;
/// A region at capacity can usually accept requests again after about one response time of a
/// target.
constexpr Duration RefusalBackoff = 250ms;

} // namespace

void RemoteEntries::setReadyEntries(EntriesByRegion Ready) {
  for (auto &[Region, Entries] : Ready) {
    std::sort(Entries.begin(), Entries.end(), [this](const Endpoint &Left, const Endpoint &Right) {
      return rendezvousScore(this->Self, Left.Address) > rendezvousScore(this->Self, Right.Address);
    });
    Entries.resize(std::min(Entries.size(), MaxEntriesPerRegion));
  }
  this->SelectedEntries = std::move(Ready);
}

bool RemoteEntries::isBackingOff(const RegionName &Region, const ServiceName &Service,
                                 TimePoint Now) const {
  const auto Found = this->BackoffUntil.find({Region, Service});
  return Found != this->BackoffUntil.end() && Now < Found->second;
}

std::optional<Endpoint> RemoteEntries::choose(const std::set<RegionName> &Regions,
                                              const ServiceName &Service, double RandomValue,
                                              TimePoint Now) const {
  std::vector<Endpoint> Candidates;
  for (const auto &[Region, Entries] : this->SelectedEntries) {
    if (Regions.contains(Region) && !this->isBackingOff(Region, Service, Now)) {
      Candidates.insert(Candidates.end(), Entries.begin(), Entries.end());
    }
  }
  if (Candidates.empty()) {
    return std::nullopt;
  }
  return Candidates[static_cast<std::size_t>(RandomValue * static_cast<double>(Candidates.size()))];
}

void RemoteEntries::onRefused(const Endpoint &Entry, const ServiceName &Service, TimePoint Now) {
  for (const auto &[Region, Entries] : this->SelectedEntries) {
    if (std::find(Entries.begin(), Entries.end(), Entry) != Entries.end()) {
      this->BackoffUntil[{Region, Service}] = Now + RefusalBackoff;
    }
  }
}

} // namespace anvilsaddle
