#pragma once

#include "coordination/limits/RetryBudget.h"
#include "coordination/membership/Membership.h"
#include "state/Time.h"
#include "state/Topology.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Counts the entries that may use a share of a budget of the fleet, so that the shares of all
/// entries together stay within it although their views of the live entries differ.
///
/// An entry that is no longer live counts for Retention, as it may be alive in a part of the fleet
/// that can't be reached, and as what it used stays in the window. An entry that announced its end
/// counts for one window more. This entry has a share only after it has known the fleet for one
/// window: until then, an earlier run of it or entries that it never heard of may have used the
/// budget of the window. It knows the fleet while it hears of other entries and counts one of each
/// region at least.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class BudgetEntries {
public:
  static constexpr Duration Retention = std::chrono::hours(1);

  /// `Window` is the window of the budget.
  BudgetEntries(Topology FleetTopology, Duration Window)
      : FleetTopology(std::move(FleetTopology)), Window(Window) {}

  /// Sets the live entries, including this one.
  void setLive(const std::vector<EntryRecord> &Live, TimePoint Now);
  /// The share of this entry. The count of entries is at least the number of failure domains.
  RetryShare share(TimePoint Now);

private:
  struct CountedEntry {
    RegionName Region;
    bool IsLeaving = false;
    /// Time until which the entry counts; nothing while it is live.
    std::optional<TimePoint> CountsUntil;
  };

  bool knowsFleet() const;
  bool countsAllRegions() const;
  /// Whether this entry hears of no other entry although there are other failure domains.
  bool isIsolated() const;
  void removeExpired(TimePoint Now);

  Topology FleetTopology;
  Duration Window;
  std::map<std::string, CountedEntry> Entries;
  std::size_t LiveCount = 0;
  /// Time from which on this entry has known the fleet without a break.
  std::optional<TimePoint> KnownSince;
};

} // namespace anvilsaddle
