#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilsaddle {

/// A live entry. Value type.
struct QuotaEntry {
  std::string Address;
  RegionName Region;
  /// The entry shuts down as planned.
  bool IsLeaving = false;

  auto operator<=>(const QuotaEntry &) const = default;
};

/// Entries among which the quotas are divided, and the coordinators of each customer.
///
/// The entries form groups within their regions. Each group has its own coordinator of each
/// customer, selected by rendezvous hashing, to which its entries report. Reports thus stay in
/// their region, and a coordinator that is paused, dead or cut off hides the requests of its group
/// only. Not thread-safe.
class QuotaFleet {
public:
  /// Index of a group.
  using Group = std::size_t;

  /// A group of one customer.
  struct CoordinatedGroup {
    std::string Coordinator;
    std::size_t EntryCount = 0;
  };

  explicit QuotaFleet(std::string Self) : Self(std::move(Self)) {}

  /// Sets the live entries, including this one.
  void setEntries(std::vector<QuotaEntry> Entries, TimePoint Now);
  const std::string &self() const { return this->Self; }
  const std::vector<QuotaEntry> &live() const { return this->Live; }
  /// Number of entries that may admit requests: live ones, and lost ones that may still run.
  std::size_t assumedCount() const;
  /// Share of a limit that the live entries may use together. Less than 1 if entries were lost that
  /// may still run and that this part of the fleet can't hear.
  double liveShare() const;

  Group groupOf(const CustomerName &Customer, const std::string &Entry) const;
  /// The groups of a customer in the order of their indexes; never empty.
  const std::vector<CoordinatedGroup> &groups(const CustomerName &Customer) const;
  /// The coordinator to which an entry reports the requests of a customer.
  const std::string &coordinatorOf(const CustomerName &Customer, const std::string &Entry) const;
  bool isCoordinator(const CustomerName &Customer) const;

private:
  /// Number of groups of each region.
  std::size_t groupsPerRegion() const;

  std::string Self;
  std::vector<QuotaEntry> Live;
  /// Index of the region of each live entry.
  std::map<std::string, Group> RegionIndexes;
  std::size_t RegionCount = 1;
  /// Entries that are live or were lost without notice, with the time when they were last live.
  std::map<std::string, TimePoint> Assumed;
  mutable std::map<CustomerName, std::vector<CoordinatedGroup>> Cache;
};

} // namespace anvilsaddle
