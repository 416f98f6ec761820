#include "coordination/EntryNode.h"

#include "coordination/OwnerQueuePolicy.h"
#include "coordination/RandomSource.h"
#include "coordination/RetryPolicy.h"
#include "coordination/Sealer.h"
#include "state/SettingsParser.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace anvilsaddle {

namespace {

/// The subtree that names regions, failure domains and services.
constexpr std::string_view PlatformPath = "platform";
constexpr Duration EntryAnswerLifetime = std::chrono::seconds(2);
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

} // namespace

struct EntryNode::ActiveRequest {
  enum class Phase { Waiting, Running, Forwarded, BackingOff };

  RequestHead Head;
  RoutedRequest Routed;
  /// Set if this incarnation admitted the idempotency key and must record its outcome.
  std::string AdmittedKey;
  GroupId Group;
  TimePoint Arrival;
  TimePoint Deadline;
  Phase State = Phase::Waiting;
  TargetName RunsOn;
  std::uint32_t Attempts = 0;
  std::set<TargetName> FailedOn;
  /// Settings under which the terms were checked last.
  std::uint64_t TermsDigest = 0;
  /// True once an attempt may have run; later refusals then say "unknown".
  bool MayHaveRun = false;
};

EntryNode::EntryNode(EntryIdentity Self, const SettingsParser &Parser, const Sealer &Seals,
                     RandomSource &Random, TimePoint Now)
    : Self(std::move(Self)), Random(Random), Settings(Parser), Router(this->Self.Region, Seals),
      Keys(this->Self, Seals), Fleet(this->Self, Now),
      Groups([] { return std::make_unique<OwnerQueuePolicy>(); }) {}

EntryNode::~EntryNode() = default;

OfferOutcome EntryNode::onSettings(const std::string &Path, std::uint64_t Revision,
                                   const std::string &Text, const std::optional<VmName> &Peer,
                                   TimePoint Now) {
  this->advance(Now);
  const std::string Source = Peer ? Peer->str() : "configuration service";
  const OfferResult Result = this->Settings.offer(Path, Revision, Text);
  const std::string Previous = std::to_string(Result.PreviousRevision);
  if (Result.Outcome == OfferOutcome::Accepted) {
    this->recordChange("settings/" + Path, Previous, std::to_string(Revision), Revision,
                       "accepted from " + Source);
    if (Path == PlatformPath) {
      this->refreshView(Now);
    } else {
      this->Fleet.setDigest(this->Settings.digest());
    }
  }
  if (!Peer && Result.Outcome != OfferOutcome::Refused) {
    this->Fleet.onServiceSettings();
  }
  if (Result.Outcome == OfferOutcome::Refused) {
    this->recordChange("settings/" + Path, Previous, Previous, Revision,
                       "refused from " + Source + ": " + toString(Result.Problems.front()));
  }
  return Result.Outcome;
}

void EntryNode::onSettingsFetched(const VmName &Entry, bool Ok, TimePoint Now) {
  this->advance(Now);
  this->Fleet.onSettingsFetched(Entry, Ok, Now);
}

void EntryNode::onVmList(const VmList &List, TimePoint Now) {
  this->advance(Now);
  if (List.Revision <= this->Vms.Revision) {
    return;
  }
  this->recordChange("vm-list", std::to_string(this->Vms.Revision), std::to_string(List.Revision),
                     List.Revision, "newer list published");
  this->Vms = List;
  this->refreshView(Now);
}

void EntryNode::onPeerMessage(const PeerMessage &Message, TimePoint Now) {
  this->advance(Now);
  this->sendAll(this->Fleet.onMessage(Message, Now), Now);
  this->refreshGroups(Now);
}

std::optional<Refusal> EntryNode::checkHead(const RequestHead &Head, TimePoint Now) const {
  auto Terms = this->resolveTerms(Head, Now);
  auto *Refused = std::get_if<Refusal>(&Terms);
  return Refused ? std::optional(std::move(*Refused)) : std::nullopt;
}

std::variant<RoutedRequest, Refusal> EntryNode::resolveTerms(const RequestHead &Head,
                                                             TimePoint Now) const {
  auto Decision = this->Router.route(this->Settings.snapshot(), Head);
  if (const auto *Routed = std::get_if<RoutedRequest>(&Decision)) {
    if (!this->Stopping && this->isServing()) {
      return Decision;
    }
    Refusal Answer =
        makeRefusal(503, RunOutcome::NotRun,
                    this->Stopping ? "this entry is stopping" : "this entry is starting");
    Answer.Entries = this->Fleet.entryAddresses(Routed->Regions, {Routed->Destination.Name}, Now);
    Answer.RetryAfter = DefaultRetryAfter;
    Decision = std::move(Answer);
  }
  auto &Refused = std::get<Refusal>(Decision);
  const SettingsSnapshot &Snapshot = this->Settings.snapshot();
  const Customer *Caller = Head.Forwarded ? Snapshot.findCustomer(Head.Forwarded->Customer)
                                          : this->Router.authenticate(Snapshot, Head.Authorization);
  if (Caller && Refused.Status == 403) {
    Refused.Entries =
        this->Fleet.entryAddresses(this->Router.allowedRegions(Snapshot, *Caller), {}, Now);
  }
  // An earlier request with the same key may have run, here or through another entry.
  const bool KeyMatters =
      !Head.IdempotencyKey.empty() && !(Head.Forwarded && Head.Forwarded->KeyAdmitted);
  if (KeyMatters && (!Caller || !this->Keys.isUnused(Caller->Name, Head.IdempotencyKey))) {
    Refused.Outcome = RunOutcome::Unknown;
  }
  return Decision;
}

std::variant<RequestNumber, Refusal> EntryNode::onRequest(const RequestHead &Head, TimePoint Now) {
  this->advance(Now);
  auto Terms = this->resolveTerms(Head, Now);
  if (auto *Refused = std::get_if<Refusal>(&Terms)) {
    return std::move(*Refused);
  }
  ActiveRequest Request;
  Request.Head = Head;
  Request.Arrival = Now;
  Request.Routed = std::move(std::get<RoutedRequest>(Terms));
  Request.TermsDigest = this->Settings.digest();
  const Route &Path = Request.Routed.Path;
  Request.Deadline = Now + std::min({Path.Deadline, Request.Routed.Destination.MaxDeadline,
                                     Head.Patience.value_or(Path.Deadline)});

  std::optional<KeyOfOtherIssuer> OtherIssuer;
  if (!Path.Repeatable && !(Head.Forwarded && Head.Forwarded->KeyAdmitted)) {
    KeyDecision Decision = this->Keys.admit(Request.Routed.Caller.Name, Head.IdempotencyKey, Now);
    if (auto *Refused = std::get_if<Refusal>(&Decision)) {
      return std::move(*Refused);
    }
    if (const auto *Other = std::get_if<KeyOfOtherIssuer>(&Decision)) {
      OtherIssuer = *Other;
    } else {
      Request.AdmittedKey = Head.IdempotencyKey;
    }
  }
  if (OtherIssuer && (Head.Forwarded ||
                      !this->Fleet.isAlive(OtherIssuer->Issuer, OtherIssuer->IssuerIncarnation))) {
    return makeRefusal(409, RunOutcome::Unknown, "the entry that issued the key is not reachable");
  }

  const RequestNumber Number = ++this->LastNumber;
  this->Requests.emplace(Number, std::move(Request));
  if (OtherIssuer) {
    // Only the issuer knows whether an earlier request with the key ran, so that nothing but its
    // answer allows "not run" or another attempt.
    this->Requests.at(Number).MayHaveRun = true;
    if (!this->forward(Number, OtherIssuer->Issuer, false)) {
      this->refuse(Number, makeRefusal(409, RunOutcome::Unknown,
                                       "the entry that issued the key is not reachable"));
    }
  } else {
    this->Budget.onFirstAttempt(this->Requests.at(Number).Routed.Caller.Name,
                                this->Requests.at(Number).Routed.Destination.Name, Now);
    this->place(Number, Now);
  }
  return Number;
}

bool EntryNode::onAnswerHead(RequestNumber Number, int Status, bool HasRetryAfter, TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end() || Found->second.State != ActiveRequest::Phase::Running) {
    return true;
  }
  if (Status == 503 && HasRetryAfter) {
    return false;
  }
  if (DispatchPolicy *Policy = this->Groups.find(Found->second.Group)) {
    Policy->onFirstByte(Number, Now);
  }
  return true;
}

void EntryNode::onAttemptEnd(RequestNumber Number, const AttemptReport &Report, TimePoint Now) {
  this->advance(Now);
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return;
  }
  ActiveRequest &Request = Found->second;
  if (Request.State == ActiveRequest::Phase::Running) {
    this->Groups.onAttemptEnd(
        Request.Group, Number,
        {Report.Outcome, Report.FirstByte, Report.Total, this->Random.uniform()}, Now);
  }
  if (Report.PeerOutcome && Report.AnswerStarted) {
    this->finish(Number,
                 *Report.PeerOutcome == RunOutcome::NotRun ? KeyState::NotRun : KeyState::Unknown,
                 0);
  } else if (Report.Outcome == AttemptOutcome::Succeeded) {
    this->finish(Number, KeyState::Ran, Report.Status);
  } else if (Report.AnswerStarted) {
    this->finish(Number, KeyState::Unknown, 0);
  } else {
    this->onAttemptFailed(Number, Report, Now);
  }
  this->startWaiting(Now);
}

void EntryNode::onAttemptFailed(RequestNumber Number, const AttemptReport &Report, TimePoint Now) {
  ActiveRequest &Request = this->Requests.at(Number);
  const bool Forwarded = Request.State == ActiveRequest::Phase::Forwarded;
  const bool NotRun = !Report.Sent || (Report.Outcome == AttemptOutcome::Shed && !Forwarded &&
                                       Request.Routed.Destination.ShedIsNotRun);
  Request.MayHaveRun |= !NotRun;
  if (Report.Outcome == AttemptOutcome::Cancelled) {
    this->finish(Number, Request.MayHaveRun ? KeyState::Unknown : KeyState::NotRun, 0);
    return;
  }
  // A forward that may have arrived is not repeated: the other entry may have run it.
  const bool MayRetry = !Forwarded || !Report.Sent;
  if (MayRetry && this->scheduleRetry(Number, NotRun, Now)) {
    return;
  }
  const RunOutcome Outcome = Request.MayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun;
  switch (Report.Outcome) {
  case AttemptOutcome::DeadlineExceeded:
    this->refuse(Number, makeRefusal(504, Outcome, "no answer before the deadline"));
    break;
  case AttemptOutcome::Shed:
    this->refuse(Number, makeRefusal(503, Outcome, "the target shed the request"));
    break;
  default:
    this->refuse(Number, makeRefusal(502, Outcome,
                                     Forwarded ? "the entry that owns the targets did not answer"
                                               : "the target failed before it answered"));
  }
}

bool EntryNode::scheduleRetry(RequestNumber Number, bool NotRun, TimePoint Now) {
  ActiveRequest &Request = this->Requests.at(Number);
  FailedAttempt Failed;
  Failed.Target = Request.RunsOn;
  Failed.Attempts = Request.Attempts;
  Failed.Repeatable = Request.Routed.Path.Repeatable;
  Failed.ProvablyNotRun = NotRun && !Request.MayHaveRun;
  Failed.BodyKept = Request.Head.Replayable;
  Failed.Deadline = Request.Deadline;
  Failed.Excluded = Request.FailedOn;
  const RetryDecision Decision = RetryPolicy::decide(Failed, this->Random.uniform(), Now, [&] {
    return this->Budget.tryTake(Request.Routed.Caller.Name, Request.Routed.Destination.Name, Now);
  });
  const auto *Next = std::get_if<RetryAt>(&Decision);
  if (!Next) {
    return false;
  }
  Request.FailedOn = Next->Excluded;
  Request.State = ActiveRequest::Phase::BackingOff;
  this->Retries.emplace(Next->When, Number);
  return true;
}

void EntryNode::onCallerGone(RequestNumber Number, TimePoint Now) {
  this->advance(Now);
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return;
  }
  const ActiveRequest &Request = Found->second;
  if (Request.State == ActiveRequest::Phase::Waiting) {
    if (DispatchPolicy *Policy = this->Groups.find(Request.Group)) {
      Policy->cancel(Number, Now);
    }
  }
  // A running attempt ends by onAttemptEnd(), because the transport cancels it.
  if (Request.State == ActiveRequest::Phase::Waiting ||
      Request.State == ActiveRequest::Phase::BackingOff) {
    this->finish(Number, Request.MayHaveRun ? KeyState::Unknown : KeyState::NotRun, 0);
  }
}

std::variant<EntryAnswer, Refusal> EntryNode::entriesFor(const std::string &Authorization,
                                                         TimePoint Now) {
  this->advance(Now);
  const SettingsSnapshot &Snapshot = this->Settings.snapshot();
  const Customer *Caller = this->Router.authenticate(Snapshot, Authorization);
  if (!Caller) {
    return makeRefusal(401, RunOutcome::NotRun, "unknown caller or wrong key");
  }
  std::set<ServiceName> Services;
  for (const Route &Path : Snapshot.teams().at(teamOf(Caller->Name)).Routes) {
    if (Path.Customer == Caller->Name) {
      Services.insert(Path.Service);
    }
  }
  EntryAnswer Answer;
  Answer.Entries =
      this->Fleet.entryAddresses(this->Router.allowedRegions(Snapshot, *Caller), Services, Now);
  Answer.TimeToKeep = EntryAnswerLifetime;
  if (!this->Stopping) {
    Answer.Ticket = this->Keys.newTicket(Caller->Name, Now);
  }
  return Answer;
}

Explanation EntryNode::explain(const CustomerName &Name, const std::string &Method,
                               const std::string &UrlPath, TimePoint Now) const {
  RequestHead Head;
  Head.Method = Method;
  Head.Path = UrlPath;
  Head.Forwarded = ForwardMark{this->Self.Vm, Name, false, false};
  const auto Decision = this->Router.route(this->Settings.snapshot(), Head);
  if (const auto *Refused = std::get_if<Refusal>(&Decision)) {
    return {"refused with " + std::to_string(Refused->Status) + ": " + Refused->Reason, {}};
  }
  return explainRoute(std::get<RoutedRequest>(Decision), this->Settings.snapshot(), this->Targets,
                      this->Fleet, this->Self, Now);
}

void EntryNode::onTick(TimePoint Now) {
  this->advance(Now);
  this->sendAll(this->Fleet.onTick(Now, this->Groups.loads(), this->Groups.inFlight()), Now);
  for (AuditEntry &Change : this->Fleet.takeChanges()) {
    this->Effects.emplace_back(RecordChange{std::move(Change)});
  }
  if (const auto Watch = this->Fleet.takeWatchChange()) {
    this->Effects.emplace_back(SetWatch{*Watch});
  }
  if (const auto Source = this->Fleet.nextSettingsSource(Now)) {
    this->Effects.emplace_back(FetchSettings{*Source, this->Fleet.peerEndpoint(*Source).value()});
  }
  this->refreshGroups(Now);
  for (const RequestNumber Number : this->Groups.expire(Now)) {
    const ActiveRequest &Request = this->Requests.at(Number);
    this->refuse(Number,
                 makeRefusal(504, Request.MayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun,
                             "no slot free before the deadline"));
  }
  this->startRetries(Now);
  this->startWaiting(Now);
}

std::optional<TimePoint> EntryNode::nextWakeup(TimePoint Now) const {
  auto Result = this->Groups.nextWakeup(Now);
  if (!this->Retries.empty() && (!Result || this->Retries.begin()->first < *Result)) {
    Result = this->Retries.begin()->first;
  }
  return Result;
}

void EntryNode::beginStop(TimePoint Now) {
  this->advance(Now);
  this->Stopping = true;
  this->Fleet.beginStop();
}

bool EntryNode::isServing() const { return this->Fleet.isServing(); }

std::optional<RequestSummary> EntryNode::summary(RequestNumber Number) const {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return std::nullopt;
  }
  const ActiveRequest &Request = Found->second;
  return RequestSummary{Request.Routed.Destination.Name, Request.Routed.Path.Class, Request.Arrival,
                        Request.Attempts};
}

std::vector<Effect> EntryNode::takeEffects() { return std::exchange(this->Effects, {}); }

void EntryNode::advance(TimePoint Now) {
  // An entry that was paused starts nothing under a lease that ended meanwhile.
  if (this->LeasesEnd && *this->LeasesEnd <= Now) {
    this->refreshLeases(Now);
  }
}

void EntryNode::refreshView(TimePoint Now) {
  this->Targets = computeGroups(this->Settings.snapshot(), this->Vms);
  const bool HasSettings = !this->Settings.revisions().empty();
  this->Fleet.setView(this->Settings.snapshot(),
                      HasSettings ? std::optional(this->Settings.digest()) : std::nullopt,
                      this->Vms, this->Targets, Now);
  this->refreshGroups(Now);
}

void EntryNode::refreshGroups(TimePoint Now) {
  if (!this->Fleet.takeOwnershipChange()) {
    return;
  }
  this->refreshLeases(Now);
  this->startWaiting(Now);
}

void EntryNode::refreshLeases(TimePoint Now) {
  this->LeasesEnd = this->Fleet.refreshLeases(Now);
  for (const GroupId &Group : this->Groups.ownedGroups()) {
    if (!this->Fleet.owns(Group)) {
      this->moveWaiting(Group, Now);
    }
  }
  for (const auto &[Group, Members] : this->Targets) {
    if (!this->Fleet.owns(Group)) {
      continue;
    }
    std::vector<std::pair<GroupTarget, std::uint32_t>> Usable;
    for (const GroupTarget &Each : Members) {
      const std::uint32_t Slots = this->Fleet.usableSlots(Each);
      if (Slots > 0) {
        Usable.emplace_back(Each, Slots);
      }
    }
    this->Groups.setOwned(Group, Usable, Now);
  }
}

void EntryNode::sendAll(const std::vector<OutgoingMessage> &Messages, TimePoint Now) {
  for (const OutgoingMessage &Each : Messages) {
    if (Each.Receiver == this->Self.Vm) {
      this->sendAll(this->Fleet.onMessage(Each.Message, Now), Now);
      continue;
    }
    if (const auto Destination = this->Fleet.peerEndpoint(Each.Receiver)) {
      this->Effects.emplace_back(SendPeerMessage{Each.Receiver, *Destination, Each.Message});
    }
  }
}

void EntryNode::place(RequestNumber Number, TimePoint Now) {
  const ActiveRequest &Request = this->Requests.at(Number);
  const auto Group = this->Fleet.bestGroup(Request.Routed.Destination.Name, this->Groups, Now);
  const auto Owner = Group ? this->Fleet.ownerOf(*Group, Now) : std::nullopt;
  if (Owner == this->Self.Vm) {
    if (!this->enqueue(Number, *Group, Now) && this->Requests.contains(Number) &&
        !this->overflow(Number, Now)) {
      this->refuse(Number, this->noCapacity(Request, "no capacity before the deadline", Now));
    }
    return;
  }
  const bool Arrived = Request.Head.Forwarded && Request.Head.Forwarded->ToOwner;
  if (Owner && !Arrived && this->forward(Number, *Owner, true)) {
    return;
  }
  if (!Owner && !Arrived && this->overflow(Number, Now)) {
    return;
  }
  this->refuse(Number, this->noCapacity(Request,
                                        Arrived ? "this entry does not own the targets"
                                                : "no live entry owns the targets",
                                        Now));
}

bool EntryNode::enqueue(RequestNumber Number, const GroupId &Group, TimePoint Now) {
  ActiveRequest &Request = this->Requests.at(Number);
  DispatchPolicy *Policy = this->Groups.find(Group);
  if (!Policy) {
    return false;
  }
  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Customer = Request.Routed.Caller.Name;
  Queued.Weight = Request.Routed.Caller.Weight;
  Queued.MaxInFlight = Request.Routed.Caller.MaxInFlight;
  Queued.Class = Request.Routed.Path.Class;
  Queued.Deadline = Request.Deadline;
  Queued.Excluded = Request.FailedOn;
  Request.Group = Group;
  Request.State = ActiveRequest::Phase::Waiting;
  switch (Policy->enqueue(Queued, Now)) {
  case EnqueueOutcome::Queued:
    this->startWaiting(Now);
    return true;
  case EnqueueOutcome::CustomerLimit: {
    Refusal Answer = this->noCapacity(Request, "the customer has too many requests in flight", Now);
    Answer.Status = 429;
    this->refuse(Number, std::move(Answer));
    return false;
  }
  case EnqueueOutcome::Overloaded:
    break;
  }
  return false;
}

bool EntryNode::forward(RequestNumber Number, const VmName &Entry, bool ToOwner) {
  ActiveRequest &Request = this->Requests.at(Number);
  const auto Destination = this->Fleet.peerEndpoint(Entry);
  if (!Destination) {
    return false;
  }
  const bool KeyAdmitted = !Request.AdmittedKey.empty() ||
                           (Request.Head.Forwarded && Request.Head.Forwarded->KeyAdmitted);
  Request.State = ActiveRequest::Phase::Forwarded;
  Request.RunsOn = TargetName();
  ++Request.Attempts;
  this->Effects.emplace_back(
      StartForward{Number, Entry, *Destination,
                   ForwardMark{this->Self.Vm, Request.Routed.Caller.Name, KeyAdmitted, ToOwner},
                   Request.Deadline, Request.Routed.Path.Repeatable});
  return true;
}

bool EntryNode::overflow(RequestNumber Number, TimePoint Now) {
  const ActiveRequest &Request = this->Requests.at(Number);
  // Links between regions are paid by volume, so bulk work waits, and a request is moved only once.
  if (Request.Routed.Path.Class == RequestClass::Bulk || Request.Head.Forwarded ||
      !Request.AdmittedKey.empty()) {
    return false;
  }
  for (const RegionName &Region : Request.Routed.Regions) {
    if (Region == this->Self.Region) {
      continue;
    }
    const auto Owner =
        this->Fleet.ownerWithSpareSlots(Request.Routed.Destination.Name, Region, Now);
    if (Owner) {
      return this->forward(Number, *Owner, true);
    }
  }
  return false;
}

void EntryNode::startWaiting(TimePoint Now) {
  bool Again = true;
  while (Again) {
    Again = false;
    for (const GroupAssignment &Next : this->Groups.assign(Now)) {
      const RequestNumber Number = Next.Work.Request;
      ActiveRequest &Request = this->Requests.at(Number);
      // Settings may have changed while the request waited.
      if (!this->mayRunHere(Request)) {
        this->Groups.onAttemptEnd(Next.Group, Number,
                                  {AttemptOutcome::Cancelled, Duration(0), Duration(0), 0}, Now);
        this->refuse(Number,
                     makeRefusal(403, Request.MayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun,
                                 "the customer's settings changed while the request waited"));
        Again = true;
        continue;
      }
      Request.State = ActiveRequest::Phase::Running;
      Request.RunsOn = Next.Work.Target;
      ++Request.Attempts;
      this->Effects.emplace_back(StartAttempt{Number, Next.Work.Target, Next.Destination,
                                              Request.Deadline, Request.Routed.Path.Repeatable});
    }
  }
}

void EntryNode::startRetries(TimePoint Now) {
  while (!this->Retries.empty() && this->Retries.begin()->first <= Now) {
    const RequestNumber Number = this->Retries.begin()->second;
    this->Retries.erase(this->Retries.begin());
    const auto Found = this->Requests.find(Number);
    if (Found != this->Requests.end() && Found->second.State == ActiveRequest::Phase::BackingOff) {
      this->place(Number, Now);
    }
  }
}

void EntryNode::moveWaiting(const GroupId &Group, TimePoint Now) {
  std::vector<RequestNumber> Waiting;
  for (const auto &[Number, Request] : this->Requests) {
    if (Request.State == ActiveRequest::Phase::Waiting && Request.Group == Group) {
      Waiting.push_back(Number);
    }
  }
  if (DispatchPolicy *Policy = this->Groups.find(Group)) {
    for (const RequestNumber Number : Waiting) {
      Policy->cancel(Number, Now);
    }
  }
  this->Groups.disown(Group, Now);
  for (const RequestNumber Number : Waiting) {
    this->place(Number, Now);
  }
}

bool EntryNode::mayRunHere(const ActiveRequest &Request) const {
  if (Request.TermsDigest == this->Settings.digest()) {
    return true;
  }
  RequestHead Head = Request.Head;
  // The credential was checked on arrival; only the customer's terms are checked again.
  Head.Forwarded = ForwardMark{this->Self.Vm, Request.Routed.Caller.Name, false, false};
  const auto Decision = this->Router.route(this->Settings.snapshot(), Head);
  const auto *Routed = std::get_if<RoutedRequest>(&Decision);
  return Routed && Routed->Destination.Name == Request.Routed.Destination.Name &&
         Routed->Path.Repeatable == Request.Routed.Path.Repeatable;
}

void EntryNode::finish(RequestNumber Number, KeyState State, int Status) {
  const auto Found = this->Requests.find(Number);
  if (!Found->second.AdmittedKey.empty()) {
    this->Keys.finish(Found->second.Routed.Caller.Name, Found->second.AdmittedKey, State, Status);
  }
  this->Requests.erase(Found);
}

void EntryNode::refuse(RequestNumber Number, Refusal Answer) {
  const KeyState State =
      Answer.Outcome == RunOutcome::NotRun ? KeyState::NotRun : KeyState::Unknown;
  this->finish(Number, State, 0);
  this->Effects.emplace_back(RefuseRequest{Number, std::move(Answer)});
}

Refusal EntryNode::noCapacity(const ActiveRequest &Request, std::string Reason,
                              TimePoint Now) const {
  Refusal Answer = makeRefusal(503, Request.MayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun,
                               std::move(Reason));
  Answer.Entries =
      this->Fleet.entryAddresses(Request.Routed.Regions, {Request.Routed.Destination.Name}, Now);
  Answer.RetryAfter = DefaultRetryAfter;
  return Answer;
}

void EntryNode::recordChange(std::string What, std::string From, std::string To,
                             std::uint64_t Revision, std::string Why) {
  AuditEntry Entry;
  Entry.What = std::move(What);
  Entry.From = std::move(From);
  Entry.To = std::move(To);
  Entry.Revision = Revision;
  Entry.Why = std::move(Why);
  this->Effects.emplace_back(RecordChange{std::move(Entry)});
}

} // namespace anvilsaddle
