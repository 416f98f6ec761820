#pragma once

#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Live entries of other regions, and which of them gets a request that is better served there. An
/// entry uses few others, so that connections to them stay open. Not thread-safe; times must not
/// decrease.
class RemoteEntries {
public:
  using EntriesByRegion = std::map<RegionName, std::vector<Endpoint>>;

  /// `Self` is this entry's name.
  explicit RemoteEntries(std::string Self) : Self(std::move(Self)) {}

  /// Ready entries of each other region, by the addresses at which they take requests of entries.
  void setReadyEntries(EntriesByRegion Ready);
  /// An entry of one of the regions; nothing if none is known, or if all have refused a request of
  /// the service lately. `Draw` in [0, 1) decides among equals.
  std::optional<Endpoint> choose(const std::set<RegionName> &Regions, const ServiceName &Service,
                                 double Draw, TimePoint Now) const;
  /// The entry did not serve a request of the service: its region is passed over for a while.
  void onRefused(const Endpoint &Entry, const ServiceName &Service, TimePoint Now);

private:
  bool isAvoided(const RegionName &Region, const ServiceName &Service, TimePoint Now) const;

  std::string Self;
  /// The few entries of each region that are used.
  EntriesByRegion Used;
  std::map<std::pair<RegionName, ServiceName>, TimePoint> AvoidUntil;
};

} // namespace anvilsaddle
