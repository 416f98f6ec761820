#pragma once

#include "coordination/DispatchPolicy.h"
#include "coordination/Effect.h"
#include "coordination/GroupMap.h"
#include "coordination/LeaseHolder.h"
#include "coordination/Messages.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// An assignment with the group and the address it belongs to.
struct GroupAssignment {
  GroupId Group;
  Assignment Work;
  Endpoint Destination;

  auto operator<=>(const GroupAssignment &) const = default;
};

/// The groups that this entry owns or still has work of, each with its queue. Not thread-safe.
class GroupTable {
public:
  using PolicyFactory = std::function<std::unique_ptr<DispatchPolicy>()>;

  explicit GroupTable(PolicyFactory MakePolicy) : MakePolicy(std::move(MakePolicy)) {}

  /// Sets the targets of a group that this entry owns; the slots are those that it may fill now.
  void setOwned(const GroupId &Group,
                const std::vector<std::pair<GroupTarget, std::uint32_t>> &Usable, TimePoint Now);
  /// Stops new work on a group. Its running work still ends by onAttemptEnd().
  void disown(const GroupId &Group, TimePoint Now);
  bool owns(const GroupId &Group) const;
  std::vector<GroupId> ownedGroups() const;

  /// The policy of an owned group or of one that still has work; null if there is none.
  DispatchPolicy *find(const GroupId &Group) const;
  std::vector<GroupAssignment> assign(TimePoint Now);
  std::vector<RequestNumber> expire(TimePoint Now);
  std::optional<TimePoint> nextWakeup(TimePoint Now) const;
  /// Frees the slot of a running request.
  void onAttemptEnd(const GroupId &Group, RequestNumber Request, const AttemptResult &Result,
                    TimePoint Now);
  /// Work in flight on each target, also on targets that are no longer usable.
  const InFlightCounts &inFlight() const { return this->Running; }
  std::vector<GroupLoad> loads() const;
  std::vector<std::pair<GroupId, std::vector<TargetStatus>>> status() const;

private:
  struct Entry {
    std::unique_ptr<DispatchPolicy> Policy;
    std::map<TargetName, Endpoint> Destinations;
    bool Owned = false;
  };

  PolicyFactory MakePolicy;
  std::map<GroupId, Entry> Entries;
  InFlightCounts Running;
  std::map<RequestNumber, TargetName> RunsOn;
};

} // namespace anvilsaddle
