#include "coordination/LeaseHolder.h"

#include "coordination/LeaseTerms.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

/// A lost report of zero would keep slots reserved for the maximum deadline.
constexpr int EmptyReleases = 3;

/// Bounds repeated releases if requests are in flight for longer, which the lessor no longer
/// counts.
constexpr Duration ReleaseTimeout = std::chrono::seconds(60);

/// A reply carries only the number of the request, so numbers must differ between incarnations: a
/// late reply to an earlier run must not pass for a lease of this one.
std::uint64_t firstRequestId(const Incarnation &Run) {
  return static_cast<std::uint64_t>(Run.StartedUnixMilliseconds) << 20U;
}

std::uint32_t countOf(const InFlightCounts &InFlight, const TargetName &Target) {
  const auto Found = InFlight.find(Target);
  return Found == InFlight.end() ? 0 : Found->second;
}

} // namespace

LeaseHolder::LeaseHolder(EntryIdentity Self, TimePoint Now)
    : Self(std::move(Self)), LastTick(Now), LastRequestId(firstRequestId(this->Self.Run)) {}

void LeaseHolder::setWanted(const std::map<TargetName, VmName> &LessorOf, TimePoint Now) {
  for (auto Each = this->Targets.begin(); Each != this->Targets.end();) {
    if (LessorOf.contains(Each->first)) {
      ++Each;
      continue;
    }
    for (const auto &[Lessor, AskedAt] : Each->second.AskedLessors) {
      this->startRelease(Each->first, Lessor, Now);
    }
    Each = this->Targets.erase(Each);
  }
  for (const auto &[Target, Lessor] : LessorOf) {
    const auto [Stored, Added] = this->Targets.try_emplace(Target);
    Wanted &Entry = Stored->second;
    if (Added) {
      // A reply that is still under way may be older than a release of the target.
      Entry.LastRequestId = this->LastRequestId;
    }
    if (Entry.Lessor != Lessor) {
      Entry.Lessor = Lessor;
      Entry.RequestDue = Now;
    }
    std::erase_if(this->Releases,
                  [&Name = Target](const auto &Each) { return Each.first.first == Name; });
  }
}

void LeaseHolder::onMessage(const PeerMessage &Message, TimePoint Now) {
  const auto *Reply = std::get_if<LeaseReply>(&Message);
  if (!Reply) {
    return;
  }
  const auto Found = this->Pending.find(Reply->RequestId);
  if (Found == this->Pending.end() || Found->second.Lessor != Reply->Lessor) {
    return;
  }
  for (const LeaseGrant &Grant : Reply->Grants) {
    if (Grant.Granted) {
      this->applyGrant(Grant, Found->second, Reply->RequestId, Now);
    }
  }
  // A long request is sent in several datagrams, each with its own reply, so that the request stays
  // known until its leases would have ended.
}

void LeaseHolder::applyGrant(const LeaseGrant &Grant, const PendingRequest &Asked,
                             std::uint64_t RequestId, TimePoint Now) {
  const auto Found = this->Targets.find(Grant.Target);
  if (Found == this->Targets.end()) {
    // Granted after the target was given up; the release may have been overtaken.
    this->startRelease(Grant.Target, Asked.Lessor, Now);
    return;
  }
  Wanted &Entry = Found->second;
  if (RequestId <= Entry.LastRequestId) {
    return;
  }
  Entry.LastRequestId = RequestId;
  Entry.Reserved = Grant.Reserved;
  Entry.Until = Asked.AskedAt + LeaseLength;
}

std::vector<OutgoingMessage> LeaseHolder::onTick(TimePoint Now, const InFlightCounts &InFlight) {
  if (Now - this->LastTick > LeaseLength) {
    this->Pending.clear();
    for (auto &[Target, Entry] : this->Targets) {
      Entry.Until.reset();
      Entry.RequestDue = Now;
    }
  }
  this->LastTick = Now;
  std::erase_if(this->Pending,
                [&](const auto &Each) { return Each.second.AskedAt + LeaseLength <= Now; });
  std::vector<OutgoingMessage> Out;
  this->collectReleases(Now, InFlight, Out);
  this->collectRequests(Now, InFlight, Out);
  return Out;
}

std::optional<TimePoint> LeaseHolder::nextWakeup() const {
  std::optional<TimePoint> Result;
  const auto Consider = [&](TimePoint Due) {
    if (!Result || Due < *Result) {
      Result = Due;
    }
  };
  for (const auto &[Target, Entry] : this->Targets) {
    Consider(Entry.RequestDue);
  }
  for (const auto &[Key, Entry] : this->Releases) {
    Consider(Entry.Due);
  }
  return Result;
}

std::vector<LeasedTarget> LeaseHolder::usable(TimePoint Now) const {
  std::vector<LeasedTarget> Result;
  for (const auto &[Target, Entry] : this->Targets) {
    if (Entry.Until && Now < *Entry.Until) {
      Result.push_back({Target, Entry.Reserved, *Entry.Until});
    }
  }
  return Result;
}

void LeaseHolder::startRelease(const TargetName &Target, const VmName &Lessor, TimePoint Now) {
  this->Releases[{Target, Lessor}] = {Now, Now + ReleaseTimeout, 0};
}

void LeaseHolder::collectReleases(TimePoint Now, const InFlightCounts &InFlight,
                                  std::vector<OutgoingMessage> &Out) {
  std::map<VmName, LeaseRelease> Batches;
  for (auto Each = this->Releases.begin(); Each != this->Releases.end();) {
    const auto &[Target, Lessor] = Each->first;
    Releasing &State = Each->second;
    const std::uint32_t Count = countOf(InFlight, Target);
    const bool BecameEmpty = Count == 0 && State.EmptySent == 0;
    if (State.Due > Now && !BecameEmpty) {
      ++Each;
      continue;
    }
    Batches[Lessor].Claims.push_back({Target, Count});
    State.Due = Now + LeaseRenewal;
    State.EmptySent = Count == 0 ? State.EmptySent + 1 : 0;
    const bool Done = State.EmptySent >= EmptyReleases || Now >= State.GiveUp;
    Each = Done ? this->Releases.erase(Each) : std::next(Each);
  }
  for (auto &[Lessor, Release] : Batches) {
    Release.Owner = this->Self.Vm;
    Release.OwnerIncarnation = this->Self.Run;
    Release.RequestId = ++this->LastRequestId;
    Out.push_back({Lessor, std::move(Release)});
  }
}

void LeaseHolder::collectRequests(TimePoint Now, const InFlightCounts &InFlight,
                                  std::vector<OutgoingMessage> &Out) {
  // A due lessor is asked for all its targets, so that renewals stay in one message.
  std::map<VmName, LeaseRequest> Batches;
  for (const auto &[Target, Entry] : this->Targets) {
    if (Entry.RequestDue <= Now) {
      Batches.try_emplace(Entry.Lessor);
    }
  }
  for (auto &[Target, Entry] : this->Targets) {
    const auto Batch = Batches.find(Entry.Lessor);
    if (Batch == Batches.end()) {
      continue;
    }
    Batch->second.Claims.push_back({Target, countOf(InFlight, Target)});
    Entry.RequestDue = Now + LeaseRenewal;
    Entry.AskedLessors[Entry.Lessor] = Now;
    std::erase_if(Entry.AskedLessors, [Now, &Lessor = Entry.Lessor](const auto &Each) {
      return Each.first != Lessor && Each.second + ReleaseTimeout < Now;
    });
  }
  for (auto &[Lessor, Request] : Batches) {
    Request.Owner = this->Self.Vm;
    Request.OwnerIncarnation = this->Self.Run;
    Request.RequestId = ++this->LastRequestId;
    this->Pending[Request.RequestId] = {Now, Lessor};
    Out.push_back({Lessor, std::move(Request)});
  }
}

} // namespace anvilsaddle
