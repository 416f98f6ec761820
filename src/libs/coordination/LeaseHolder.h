#pragma once

#include "coordination/EntryIdentity.h"
#include "coordination/Messages.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Requests in flight per target; absent targets have none.
using InFlightCounts = std::map<TargetName, std::uint32_t>;

/// A target that this entry holds a lease on.
struct LeasedTarget {
  TargetName Target;
  /// Slots still taken by work of earlier owners. This entry may fill the others, counting all its
  /// own requests in flight.
  std::uint32_t Reserved = 0;
  /// No request may start at or after this time.
  TimePoint Until;

  auto operator<=>(const LeasedTarget &) const = default;
};

/// Obtains and renews the leases that an owner needs, and releases those that it no longer wants.
/// Performs no I/O and reads no clock. Times must not decrease between calls. Messages to the own
/// VM must be passed back by the caller. Not thread-safe.
class LeaseHolder {
public:
  LeaseHolder(EntryIdentity Self, TimePoint Now);

  /// Sets the targets to hold, with the lessor of each. Targets left out are usable no longer; the
  /// next tick releases them.
  void setWanted(const std::map<TargetName, VmName> &LessorOf, TimePoint Now);

  /// Handles LeaseReply; ignores other messages.
  void onMessage(const PeerMessage &Message, TimePoint Now);

  /// Returns due requests and releases. Drops all leases after a pause longer than a lease.
  std::vector<OutgoingMessage> onTick(TimePoint Now, const InFlightCounts &InFlight);

  std::optional<TimePoint> nextWakeup() const;

  /// True if no target is wanted and no release is left to send.
  bool hasReleasedAll() const { return this->Targets.empty() && this->Releases.empty(); }

  /// Targets on which work may start now, ordered by name.
  std::vector<LeasedTarget> usable(TimePoint Now) const;

private:
  struct Wanted {
    VmName Lessor;
    TimePoint RequestDue;
    std::optional<TimePoint> Until;
    std::uint32_t Reserved = 0;
    /// Replies to earlier requests are out of date.
    std::uint64_t LastRequestId = 0;
    /// Entries that may have granted the target and must be told of its release.
    std::map<VmName, TimePoint> AskedLessors;
  };
  struct Releasing {
    TimePoint Due;
    /// The lessor stops counting the work after this time, or no longer counts the lease.
    TimePoint GiveUp;
    /// Releases that reported nothing in flight.
    int EmptySent = 0;
  };
  struct PendingRequest {
    TimePoint AskedAt;
    VmName Lessor;
  };
  using ReleaseKey = std::pair<TargetName, VmName>;

  void startRelease(const TargetName &Target, const VmName &Lessor, TimePoint Now);
  void applyGrant(const LeaseGrant &Grant, const PendingRequest &Asked, std::uint64_t RequestId,
                  TimePoint Now);
  void collectReleases(TimePoint Now, const InFlightCounts &InFlight,
                       std::vector<OutgoingMessage> &Out);
  void collectRequests(TimePoint Now, const InFlightCounts &InFlight,
                       std::vector<OutgoingMessage> &Out);

  EntryIdentity Self;
  TimePoint LastTick;
  std::uint64_t LastRequestId = 0;
  std::map<TargetName, Wanted> Targets;
  std::map<ReleaseKey, Releasing> Releases;
  std::map<std::uint64_t, PendingRequest> Pending;
};

} // namespace anvilsaddle
