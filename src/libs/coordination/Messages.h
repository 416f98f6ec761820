#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// One run of an entry process. A later start of the same VM has a greater start time.
struct Incarnation {
  /// Wall clock, milliseconds since 1970-01-01 UTC.
  std::int64_t StartedUnixMilliseconds = 0;
  std::uint64_t Random = 0;

  auto operator<=>(const Incarnation &) const = default;
};

/// Targets of one service in one region that share an owner.
struct GroupId {
  ServiceName Service;
  RegionName Region;
  std::uint32_t Shard = 0;

  auto operator<=>(const GroupId &) const = default;
};

/// Load of a group as its owner tells it to other entries. Stale by one heartbeat interval.
struct GroupLoad {
  GroupId Group;
  std::uint32_t SpareSlots = 0;
  std::uint32_t Queued = 0;

  auto operator<=>(const GroupLoad &) const = default;
};

enum class EntryState { Starting, Serving, Departing };

struct Heartbeat {
  VmName Sender;
  Incarnation SenderIncarnation;
  /// Incarnation of the receiver as the sender knows it; zero if unknown.
  Incarnation ReceiverIncarnation;
  EntryState State = EntryState::Starting;
  std::uint64_t SettingsDigest = 0;
  std::uint64_t VmListRevision = 0;
  std::vector<GroupLoad> Groups;

  auto operator<=>(const Heartbeat &) const = default;
};

/// One target in a lease request: the owner asks for, or renews, the right to send to it.
struct LeaseClaim {
  TargetName Target;
  std::uint32_t InFlight = 0;

  auto operator<=>(const LeaseClaim &) const = default;
};

struct LeaseRequest {
  VmName Owner;
  Incarnation OwnerIncarnation;
  /// Chosen by the owner and returned in the reply, which ties the reply to the time of asking.
  std::uint64_t RequestId = 0;
  std::vector<LeaseClaim> Claims;

  auto operator<=>(const LeaseRequest &) const = default;
};

struct LeaseGrant {
  TargetName Target;
  bool Granted = false;
  /// Slots still taken by work of an earlier owner.
  std::uint32_t Reserved = 0;

  auto operator<=>(const LeaseGrant &) const = default;
};

struct LeaseReply {
  VmName Lessor;
  Incarnation LessorIncarnation;
  std::uint64_t RequestId = 0;
  std::vector<LeaseGrant> Grants;

  auto operator<=>(const LeaseReply &) const = default;
};

/// The owner gives targets back and starts no more work on them. Repeated until nothing is in
/// flight.
struct LeaseRelease {
  VmName Owner;
  Incarnation OwnerIncarnation;
  /// From the same counter as LeaseRequest::RequestId. Without it, a delayed release would end a
  /// lease that the same owner obtained later.
  std::uint64_t RequestId = 0;
  std::vector<LeaseClaim> Claims;

  auto operator<=>(const LeaseRelease &) const = default;
};

/// Sent by an entry that became the lessor of targets to the entry that would be their lessor
/// without it.
struct LessorInquiry {
  VmName Lessor;
  Incarnation LessorIncarnation;
  /// VM list of the sender. The receiver stops granting until it has a list at least as new, which
  /// then decides.
  std::uint64_t VmListRevision = 0;
  std::vector<TargetName> Targets;

  auto operator<=>(const LessorInquiry &) const = default;
};

struct CededTarget {
  TargetName Target;
  /// Time for which the last grant of the ceding entry, and work started under it, may still run.
  Duration RemainingUse{0};

  auto operator<=>(const CededTarget &) const = default;
};

/// Answer to a LessorInquiry: the sender no longer grants these targets.
struct LessorCession {
  VmName Sender;
  Incarnation SenderIncarnation;
  /// Copied from the inquiry. A cession to an earlier run of the receiver is void.
  Incarnation LessorIncarnation;
  std::vector<CededTarget> Targets;

  auto operator<=>(const LessorCession &) const = default;
};

using PeerMessage =
    std::variant<Heartbeat, LeaseRequest, LeaseReply, LeaseRelease, LessorInquiry, LessorCession>;

/// A message and the entry it goes to.
struct OutgoingMessage {
  VmName Receiver;
  PeerMessage Message;

  auto operator<=>(const OutgoingMessage &) const = default;
};

} // namespace anvilsaddle
