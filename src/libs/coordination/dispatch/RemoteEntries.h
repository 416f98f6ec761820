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

/// Live entries of other regions. Chooses the one to which a request is forwarded if another region
/// can serve it better. Each entry forwards to few others, so that its connections to them stay
/// open. Not thread-safe; times must not decrease.
class RemoteEntries {
public:
  using EntriesByRegion = std::map<RegionName, std::vector<Endpoint>>;

  /// `Self` is the name of this entry.
  explicit RemoteEntries(std::string Self) : Self(std::move(Self)) {}

  /// Sets the ready entries of each other region, as the endpoints at which they accept forwarded
  /// requests.
  void setReadyEntries(EntriesByRegion Ready);
  /// Returns an entry of one of the regions, or nothing if none is known or if each region has
  /// recently refused a request of the service. `RandomValue` in [0, 1) selects one of the
  /// candidates.
  std::optional<Endpoint> choose(const std::set<RegionName> &Regions, const ServiceName &Service,
                                 double RandomValue, TimePoint Now) const;
  /// The entry did not serve a request of the service. Its region is skipped for requests of the
  /// service during a backoff time.
  void onRefused(const Endpoint &Entry, const ServiceName &Service, TimePoint Now);

private:
  bool isBackingOff(const RegionName &Region, const ServiceName &Service, TimePoint Now) const;

  std::string Self;
  /// The few entries of each region to which this entry forwards.
  EntriesByRegion SelectedEntries;
  std::map<std::pair<RegionName, ServiceName>, TimePoint> BackoffUntil;
};

} // namespace anvilsaddle
