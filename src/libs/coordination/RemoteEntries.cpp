#include "coordination/RemoteEntries.h"

#include "coordination/RendezvousHash.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t UsedPerRegion = 2;
/// A full region has room again after about one answer of its targets.
constexpr Duration Avoidance = 250ms;

} // namespace

void RemoteEntries::setReadyEntries(EntriesByRegion Ready) {
  for (auto &[Region, Entries] : Ready) {
    std::sort(Entries.begin(), Entries.end(), [this](const Endpoint &Left, const Endpoint &Right) {
      return rendezvousScore(this->Self, Left.Address) > rendezvousScore(this->Self, Right.Address);
    });
    Entries.resize(std::min(Entries.size(), UsedPerRegion));
  }
  this->Used = std::move(Ready);
}

bool RemoteEntries::isAvoided(const RegionName &Region, const ServiceName &Service,
                              TimePoint Now) const {
  const auto Found = this->AvoidUntil.find({Region, Service});
  return Found != this->AvoidUntil.end() && Now < Found->second;
}

std::optional<Endpoint> RemoteEntries::choose(const std::set<RegionName> &Regions,
                                              const ServiceName &Service, double Draw,
                                              TimePoint Now) const {
  std::vector<Endpoint> Candidates;
  for (const auto &[Region, Entries] : this->Used) {
    if (Regions.contains(Region) && !this->isAvoided(Region, Service, Now)) {
      Candidates.insert(Candidates.end(), Entries.begin(), Entries.end());
    }
  }
  if (Candidates.empty()) {
    return std::nullopt;
  }
  return Candidates[static_cast<std::size_t>(Draw * static_cast<double>(Candidates.size()))];
}

void RemoteEntries::onRefused(const Endpoint &Entry, const ServiceName &Service, TimePoint Now) {
  for (const auto &[Region, Entries] : this->Used) {
    if (std::find(Entries.begin(), Entries.end(), Entry) != Entries.end()) {
      this->AvoidUntil[{Region, Service}] = Now + Avoidance;
    }
  }
}

} // namespace anvilsaddle
