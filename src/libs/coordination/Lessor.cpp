#include "coordination/Lessor.h"

#include "coordination/LeaseTerms.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilsaddle {

namespace {

/// Hundreds of entry VMs are replaced a day; their names must not pile up.
constexpr std::size_t MaxIncarnations = 1000;

} // namespace

Lessor::Lessor(EntryIdentity Self, TimePoint Now)
    : Self(std::move(Self)), Started(Now), LastTick(Now) {}

void Lessor::setView(const LessorMap &Lessors, std::uint64_t VmListRevision, TimePoint Now) {
  if (VmListRevision < this->ListRevision) {
    return;
  }
  this->ListRevision = VmListRevision;
  std::map<TargetName, TargetState> Next;
  for (const auto &[Target, Listed] : Lessors) {
    const auto Known = this->Targets.find(Target);
    TargetState State = Known != this->Targets.end() ? std::move(Known->second) : TargetState{};
    const bool WasFirst = this->isFirst(State) && State.CededUntilRevision == 0;
    const auto OldNext = this->nextRanked(State);
    State.Ranked = Listed.Ranked;
    State.Slots = Listed.Slots;
    State.MaxDeadline = std::max(State.MaxDeadline, Listed.MaxDeadline);
    if (State.CededUntilRevision <= VmListRevision) {
      State.CededUntilRevision = 0;
    }
    const bool IsFirst = this->isFirst(State) && State.CededUntilRevision == 0;
    const bool NextLeft =
        !State.Ceded && OldNext &&
        std::find(State.Ranked.begin(), State.Ranked.end(), *OldNext) == State.Ranked.end();
    if ((IsFirst && !WasFirst) || NextLeft) {
      // An earlier lessor left the list or is not known; its last grant may still be in use.
      this->waitOut(State, Now);
    } else if (WasFirst && !IsFirst) {
      retireGrants(State);
    }
    this->scheduleInquiry(State, Now);
    Next.emplace(Target, std::move(State));
  }
  for (auto &[Target, State] : this->Targets) {
    if (!Next.contains(Target) && State.CededUntilRevision > VmListRevision) {
      // Stays ceded should the target be listed again before the list is new enough.
      State.Ranked.clear();
      State.InquiryDue.reset();
      Next.emplace(Target, std::move(State));
    }
  }
  this->Targets = std::move(Next);
  this->pruneIncarnations();
}

std::vector<OutgoingMessage> Lessor::onMessage(const PeerMessage &Message, TimePoint Now) {
  std::vector<OutgoingMessage> Out;
  if (const auto *Request = std::get_if<LeaseRequest>(&Message)) {
    this->onRequest(*Request, Now, Out);
  } else if (const auto *Release = std::get_if<LeaseRelease>(&Message)) {
    this->onRelease(*Release, Now);
  } else if (const auto *Inquiry = std::get_if<LessorInquiry>(&Message)) {
    this->onInquiry(*Inquiry, Now, Out);
  } else if (const auto *Cession = std::get_if<LessorCession>(&Message)) {
    this->onCession(*Cession, Now);
  } else if (const auto *Beat = std::get_if<Heartbeat>(&Message)) {
    if (Now < this->Started + withDrift(LeaseLength)) {
      this->RequiredRevision = std::max(this->RequiredRevision, Beat->VmListRevision);
    }
  }
  return Out;
}

std::vector<OutgoingMessage> Lessor::onTick(TimePoint Now) {
  if (Now - this->LastTick > LeaseLength) {
    for (auto &[Target, State] : this->Targets) {
      this->waitOut(State, Now);
    }
  }
  this->LastTick = Now;
  std::map<VmName, LessorInquiry> Inquiries;
  for (auto &[Target, State] : this->Targets) {
    const auto Next = this->nextRanked(State);
    if (!State.InquiryDue || *State.InquiryDue > Now) {
      continue;
    }
    if (!Next) {
      State.InquiryDue.reset();
      continue;
    }
    State.InquiryDue = Now + LeaseRenewal;
    LessorInquiry &Inquiry = Inquiries[*Next];
    Inquiry.Lessor = this->Self.Vm;
    Inquiry.LessorIncarnation = this->Self.Run;
    Inquiry.VmListRevision = this->ListRevision;
    Inquiry.Targets.push_back(Target);
  }
  std::vector<OutgoingMessage> Out;
  Out.reserve(Inquiries.size());
  for (auto &[Receiver, Inquiry] : Inquiries) {
    Out.push_back({Receiver, std::move(Inquiry)});
  }
  return Out;
}

std::optional<TimePoint> Lessor::nextWakeup() const {
  std::optional<TimePoint> Result;
  for (const auto &[Target, State] : this->Targets) {
    if (State.InquiryDue && (!Result || *State.InquiryDue < *Result)) {
      Result = State.InquiryDue;
    }
  }
  return Result;
}

void Lessor::onRequest(const LeaseRequest &Request, TimePoint Now,
                       std::vector<OutgoingMessage> &Out) {
  if (!this->acceptIncarnation(Request.Owner, Request.OwnerIncarnation)) {
    return;
  }
  LeaseReply Reply{this->Self.Vm, this->Self.Run, Request.RequestId, {}};
  for (const LeaseClaim &Claim : Request.Claims) {
    const auto Found = this->Targets.find(Claim.Target);
    if (Found == this->Targets.end()) {
      Reply.Grants.push_back({Claim.Target, false, 0});
    } else {
      Reply.Grants.push_back(this->decide(Found->second, Request, Claim, Now));
    }
  }
  Out.push_back({Request.Owner, std::move(Reply)});
}

LeaseGrant Lessor::decide(TargetState &State, const LeaseRequest &Request, const LeaseClaim &Claim,
                          TimePoint Now) {
  LeaseGrant Refused{Claim.Target, false, 0};
  if (!this->mayGrant(State, Now)) {
    return Refused;
  }
  const auto SameOwner = [&](const auto &Other) {
    return Other.Owner == Request.Owner && Other.OwnerIncarnation == Request.OwnerIncarnation;
  };
  std::erase_if(State.Remainders, [&](const Remainder &Each) { return Each.Until <= Now; });
  if (State.Holder && !SameOwner(*State.Holder) &&
      Now < State.Holder->Until + withDrift(State.MaxDeadline)) {
    return Refused;
  }
  if (State.Holder && SameOwner(*State.Holder) && Request.RequestId <= State.Holder->RequestId) {
    return Refused;
  }
  for (const Remainder &Each : State.Remainders) {
    if (SameOwner(Each) && Request.RequestId <= Each.RequestId) {
      // The request was overtaken by the release that followed it.
      return Refused;
    }
  }
  // The new lease covers the owner's own earlier work too.
  std::erase_if(State.Remainders, SameOwner);
  std::uint32_t Reserved = 0;
  for (const Remainder &Each : State.Remainders) {
    Reserved += Each.InFlight;
  }
  State.Holder = Grant{Request.Owner, Request.OwnerIncarnation, Request.RequestId,
                       Now + withDrift(LeaseLength)};
  return {Claim.Target, true, std::min(Reserved, State.Slots)};
}

void Lessor::onRelease(const LeaseRelease &Release, TimePoint Now) {
  if (!this->acceptIncarnation(Release.Owner, Release.OwnerIncarnation)) {
    return;
  }
  for (const LeaseClaim &Claim : Release.Claims) {
    const auto Found = this->Targets.find(Claim.Target);
    if (Found != this->Targets.end()) {
      this->release(Found->second, Release, Claim, Now);
    }
  }
}

void Lessor::release(TargetState &State, const LeaseRelease &Release, const LeaseClaim &Claim,
                     TimePoint Now) {
  if (State.Holder && State.Holder->Owner == Release.Owner &&
      State.Holder->OwnerIncarnation == Release.OwnerIncarnation) {
    if (Release.RequestId <= State.Holder->RequestId) {
      return;
    }
    const TimePoint LastStart = std::min(Now, State.Holder->Until);
    State.Remainders.push_back({Release.Owner, Release.OwnerIncarnation, Release.RequestId,
                                Claim.InFlight, LastStart + withDrift(State.MaxDeadline)});
    State.Holder.reset();
    return;
  }
  for (Remainder &Each : State.Remainders) {
    if (Each.Owner == Release.Owner && Each.OwnerIncarnation == Release.OwnerIncarnation &&
        Release.RequestId > Each.RequestId) {
      Each.RequestId = Release.RequestId;
      Each.InFlight = std::min(Each.InFlight, Claim.InFlight);
    }
  }
}

void Lessor::onInquiry(const LessorInquiry &Inquiry, TimePoint Now,
                       std::vector<OutgoingMessage> &Out) {
  if (!this->acceptIncarnation(Inquiry.Lessor, Inquiry.LessorIncarnation) ||
      Inquiry.VmListRevision < this->ListRevision) {
    // A sender with an older list may lack entries that this one knows of; it asks again once its
    // list is as new as this one.
    return;
  }
  LessorCession Cession{this->Self.Vm, this->Self.Run, Inquiry.LessorIncarnation, {}};
  for (const TargetName &Target : Inquiry.Targets) {
    const auto Found = this->Targets.find(Target);
    if (Found == this->Targets.end()) {
      continue;
    }
    TargetState &State = Found->second;
    if (Inquiry.VmListRevision < State.CededUntilRevision) {
      continue;
    }
    if (Inquiry.VmListRevision > this->ListRevision) {
      State.CededUntilRevision = Inquiry.VmListRevision;
    }
    retireGrants(State);
    if (!State.Ceded) {
      State.InquiryDue = State.InquiryDue.value_or(Now);
      continue;
    }
    Cession.Targets.push_back({Target, std::max(Duration{0}, State.NotBefore - Now)});
  }
  if (!Cession.Targets.empty()) {
    Out.push_back({Inquiry.Lessor, std::move(Cession)});
  }
}

void Lessor::onCession(const LessorCession &Cession, TimePoint Now) {
  if (!this->acceptIncarnation(Cession.Sender, Cession.SenderIncarnation) ||
      Cession.LessorIncarnation != this->Self.Run) {
    return;
  }
  for (const CededTarget &Each : Cession.Targets) {
    const auto Found = this->Targets.find(Each.Target);
    if (Found == this->Targets.end() || Found->second.Ceded ||
        this->nextRanked(Found->second) != Cession.Sender) {
      continue;
    }
    TargetState &State = Found->second;
    State.Ceded = true;
    State.InquiryDue.reset();
    State.NotBefore = std::max(State.NotBefore, Now + withDrift(Each.RemainingUse));
  }
}

void Lessor::pruneIncarnations() {
  if (this->Incarnations.size() <= MaxIncarnations) {
    return;
  }
  std::set<VmName> Listed;
  for (const auto &[Target, State] : this->Targets) {
    Listed.insert(State.Ranked.begin(), State.Ranked.end());
  }
  std::erase_if(this->Incarnations, [&](const auto &Each) { return !Listed.contains(Each.first); });
}

bool Lessor::acceptIncarnation(const VmName &Vm, const Incarnation &Run) {
  Incarnation &Newest = this->Incarnations[Vm];
  if (Run < Newest) {
    return false;
  }
  Newest = Run;
  return true;
}

std::optional<VmName> Lessor::nextRanked(const TargetState &State) const {
  const auto Own = std::find(State.Ranked.begin(), State.Ranked.end(), this->Self.Vm);
  if (Own == State.Ranked.end() || Own + 1 == State.Ranked.end()) {
    return std::nullopt;
  }
  return *(Own + 1);
}

bool Lessor::isFirst(const TargetState &State) const {
  return !State.Ranked.empty() && State.Ranked.front() == this->Self.Vm;
}

bool Lessor::mayGrant(const TargetState &State, TimePoint Now) const {
  return this->isFirst(State) && State.Ceded && State.CededUntilRevision == 0 &&
         Now >= State.NotBefore && this->ListRevision >= this->RequiredRevision;
}

void Lessor::waitOut(TargetState &State, TimePoint Now) const {
  State.Holder.reset();
  State.Remainders.clear();
  State.NotBefore =
      std::max(State.NotBefore, Now + withDrift(LeaseLength) + withDrift(State.MaxDeadline));
}

void Lessor::retireGrants(TargetState &State) {
  if (State.Holder) {
    State.NotBefore = std::max(State.NotBefore, State.Holder->Until + withDrift(State.MaxDeadline));
  }
  for (const Remainder &Each : State.Remainders) {
    State.NotBefore = std::max(State.NotBefore, Each.Until);
  }
  State.Holder.reset();
  State.Remainders.clear();
}

void Lessor::scheduleInquiry(TargetState &State, TimePoint Now) const {
  const auto Own = std::find(State.Ranked.begin(), State.Ranked.end(), this->Self.Vm);
  if (State.Ceded || Own == State.Ranked.end()) {
    return;
  }
  if (Own + 1 == State.Ranked.end()) {
    State.Ceded = true;
    State.InquiryDue.reset();
    return;
  }
  // The second-ranked entry asks early, so that it can cede at once when a new lessor asks it.
  const bool RankedHigh = Own - State.Ranked.begin() < 2;
  if (!State.InquiryDue && RankedHigh) {
    State.InquiryDue = Now;
  }
}

} // namespace anvilsaddle
