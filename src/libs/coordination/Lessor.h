#pragma once

#include "coordination/EntryIdentity.h"
#include "coordination/Messages.h"
#include "coordination/OwnerMap.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace anvilsaddle {

/// Grants leases on the targets that this entry is the lessor of, to one owner incarnation at a
/// time per target. The slots of the lease holder and the slots reserved for work of earlier owners
/// never exceed the slots of the target.
///
/// An entry grants only if it is ranked first in its VM list and the entry ranked after it has
/// ceded the target. An entry cedes only once the entry ranked after itself has ceded to it, so a
/// cession covers all entries of a lower rank whose lists may lag further behind.
///
/// Preconditions on VM lists: an entry leaves the list only once its process has ended, and its
/// name returns only under a list at least as new as its return. A process that starts has a list
/// at least as new as the last one of an earlier process with its name.
///
/// Performs no I/O and reads no clock. Times must not decrease between calls. Not thread-safe.
class Lessor {
public:
  /// `Now` is the start of this incarnation or earlier than its first message.
  Lessor(EntryIdentity Self, TimePoint Now);

  /// Takes a new VM list or new settings into use. Targets that moved to another lessor are no
  /// longer granted. Lists older than the one in use are ignored.
  void setView(const LessorMap &Lessors, std::uint64_t VmListRevision, TimePoint Now);

  /// Handles LeaseRequest, LeaseRelease, LessorInquiry, LessorCession and Heartbeat; ignores other
  /// messages. Returns the answers.
  std::vector<OutgoingMessage> onMessage(const PeerMessage &Message, TimePoint Now);

  /// Returns due inquiries. Detects a pause of the process, after which all grants are waited out.
  std::vector<OutgoingMessage> onTick(TimePoint Now);

  std::optional<TimePoint> nextWakeup() const;

private:
  struct Grant {
    VmName Owner;
    Incarnation OwnerIncarnation;
    std::uint64_t RequestId = 0;
    TimePoint Until;
  };
  /// Work that an earlier owner started before it released the target.
  struct Remainder {
    VmName Owner;
    Incarnation OwnerIncarnation;
    std::uint64_t RequestId = 0;
    std::uint32_t InFlight = 0;
    TimePoint Until;
  };
  struct TargetState {
    std::vector<VmName> Ranked;
    std::uint32_t Slots = 0;
    /// Longest seen, because work may have started under an earlier setting.
    Duration MaxDeadline{0};
    std::optional<Grant> Holder;
    std::vector<Remainder> Remainders;
    /// No grant before this time.
    TimePoint NotBefore;
    /// The entry ranked after this one has ceded, or there is none. Valid for this incarnation:
    /// the ceding entry waits until this entry has left the list.
    bool Ceded = false;
    std::optional<TimePoint> InquiryDue;
    /// Ceded to an entry with a list of this revision; older lists don't decide who grants.
    std::uint64_t CededUntilRevision = 0;
  };

  void onRequest(const LeaseRequest &Request, TimePoint Now, std::vector<OutgoingMessage> &Out);
  LeaseGrant decide(TargetState &State, const LeaseRequest &Request, const LeaseClaim &Claim,
                    TimePoint Now);
  void onRelease(const LeaseRelease &Release, TimePoint Now);
  void release(TargetState &State, const LeaseRelease &Release, const LeaseClaim &Claim,
               TimePoint Now);
  void onInquiry(const LessorInquiry &Inquiry, TimePoint Now, std::vector<OutgoingMessage> &Out);
  void onCession(const LessorCession &Cession, TimePoint Now);
  void pruneIncarnations();
  bool acceptIncarnation(const VmName &Vm, const Incarnation &Run);
  std::optional<VmName> nextRanked(const TargetState &State) const;
  bool isFirst(const TargetState &State) const;
  bool mayGrant(const TargetState &State, TimePoint Now) const;
  /// Forgets all grants and waits until none that any entry made up to now can be in use.
  void waitOut(TargetState &State, TimePoint Now) const;
  /// Forgets the own grants and waits until they and work started under them have ended.
  static void retireGrants(TargetState &State);
  void scheduleInquiry(TargetState &State, TimePoint Now) const;

  EntryIdentity Self;
  TimePoint Started;
  TimePoint LastTick;
  std::uint64_t ListRevision = 0;
  /// Newest list that a peer had while this incarnation waited for its first grant. An older list
  /// may lack an entry that this VM ceded to before it restarted.
  std::uint64_t RequiredRevision = 0;
  std::map<TargetName, TargetState> Targets;
  std::map<VmName, Incarnation> Incarnations;
};

} // namespace anvilsaddle
