#include "coordination/EntryNode.h"

#include "coordination/OwnerQueuePolicy.h"
#include "coordination/Sealer.h"
#include "coordination/Ticket.h"
#include "state/SettingsParser.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr Duration TicketLifetime = std::chrono::minutes(10);
constexpr Duration EntryAnswerLifetime = std::chrono::seconds(2);
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
constexpr std::size_t LedgerCapacity = 200'000;

Refusal makeRefusal(int Status, RunOutcome Outcome, std::string Reason) {
  Refusal Result;
  Result.Status = Status;
  Result.Outcome = Outcome;
  Result.Reason = std::move(Reason);
  return Result;
}

} // namespace

struct EntryNode::ActiveRequest {
  RoutedRequest Routed;
  /// Set if this incarnation admitted the idempotency key and must record its outcome.
  std::string AdmittedKey;
  GroupId Group;
  TimePoint Deadline;
  bool Running = false;
};

struct EntryNode::Group {
  std::unique_ptr<DispatchPolicy> Policy;
  std::map<TargetName, Endpoint> Destinations;
};

EntryNode::EntryNode(EntryIdentity Self, const SettingsParser &Parser, const Sealer &Seals,
                     RandomSource &Random)
    : Self(std::move(Self)), Seals(Seals), Random(Random), Settings(Parser),
      Router(this->Self.Region, Seals), Ledger(LedgerCapacity) {}

EntryNode::~EntryNode() = default;

OfferOutcome EntryNode::onSettings(const std::string &Path, std::uint64_t Revision,
                                   const std::string &Text, const std::string &Source,
                                   TimePoint Now) {
  const OfferResult Result = this->Settings.offer(Path, Revision, Text);
  if (Result.Outcome == OfferOutcome::Accepted || Result.Outcome == OfferOutcome::Refused) {
    AuditEntry Entry;
    Entry.What = "settings/" + Path;
    Entry.From = std::to_string(Result.PreviousRevision);
    Entry.Revision = Revision;
    const bool Accepted = Result.Outcome == OfferOutcome::Accepted;
    Entry.To = Accepted ? std::to_string(Revision) : Entry.From;
    Entry.Why = Accepted ? "accepted from " + Source
                         : "refused from " + Source + ": " + toString(Result.Problems.front());
    this->Effects.emplace_back(RecordChange{std::move(Entry)});
  }
  if (Result.Outcome == OfferOutcome::Accepted) {
    this->rebuildGroups(Now);
  }
  return Result.Outcome;
}

void EntryNode::onVmList(const VmList &List, TimePoint Now) {
  if (List.Revision <= this->Vms.Revision) {
    return;
  }
  AuditEntry Entry;
  Entry.What = "vm-list";
  Entry.From = std::to_string(this->Vms.Revision);
  Entry.To = std::to_string(List.Revision);
  Entry.Revision = List.Revision;
  Entry.Why = "newer list published";
  this->Effects.emplace_back(RecordChange{std::move(Entry)});
  this->Vms = List;
  this->rebuildGroups(Now);
}

std::optional<Refusal> EntryNode::checkHead(const RequestHead &Head) const {
  auto Decision = this->Router.route(this->Settings.snapshot(), Head);
  if (auto *Refused = std::get_if<Refusal>(&Decision)) {
    return std::move(*Refused);
  }
  if (this->Stopping) {
    Refusal Answer = makeRefusal(503, RunOutcome::NotRun, "this entry is stopping");
    Answer.Entries = this->entryAddresses(std::get<RoutedRequest>(Decision).Regions);
    return Answer;
  }
  return std::nullopt;
}

std::variant<RequestNumber, Refusal> EntryNode::onRequest(const RequestHead &Head, TimePoint Now) {
  auto Decision = this->Router.route(this->Settings.snapshot(), Head);
  if (auto *Refused = std::get_if<Refusal>(&Decision)) {
    return std::move(*Refused);
  }
  auto &Routed = std::get<RoutedRequest>(Decision);
  if (this->Stopping) {
    Refusal Answer = makeRefusal(503, RunOutcome::NotRun, "this entry is stopping");
    Answer.Entries = this->entryAddresses(Routed.Regions);
    return Answer;
  }
  Group *Destination = this->bestGroup(Routed.Destination.Name, this->Self.Region);
  if (!Destination) {
    Refusal Answer =
        makeRefusal(503, RunOutcome::NotRun, "no target of the service in this region");
    Answer.Entries = this->entryAddresses(Routed.Regions);
    Answer.RetryAfter = DefaultRetryAfter;
    return Answer;
  }
  bool KeyAdmitted = false;
  if (auto Refused = this->admitKey(Head, Routed, Now, KeyAdmitted)) {
    return std::move(*Refused);
  }

  const RequestNumber Number = ++this->LastNumber;
  ActiveRequest Request;
  Request.Deadline = Now + std::min({Routed.Path.Deadline, Routed.Destination.MaxDeadline,
                                     Head.Patience.value_or(Routed.Path.Deadline)});
  Request.AdmittedKey = KeyAdmitted ? Head.IdempotencyKey : std::string();
  Request.Routed = std::move(Routed);
  const auto Stored = this->Requests.emplace(Number, std::move(Request)).first;
  this->enqueue(Number, Stored->second, Now);
  return Number;
}

bool EntryNode::onAnswerHead(RequestNumber, int Status, bool HasRetryAfter) {
  return Status != 503 || !HasRetryAfter;
}

void EntryNode::onAttemptEnd(RequestNumber Number, const AttemptReport &Report, TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end() || !Found->second.Running) {
    return;
  }
  ActiveRequest &Request = Found->second;
  Request.Running = false;
  const auto Owned = this->Groups.find(Request.Group);
  if (Owned != this->Groups.end()) {
    Owned->second.Policy->onAttemptEnd(Number, {Report.Outcome, Report.FirstByte, Report.Total},
                                       Now);
  }
  if (Report.Outcome == AttemptOutcome::Succeeded || Report.AnswerStarted) {
    const bool Whole = Report.Outcome == AttemptOutcome::Succeeded;
    this->finish(Number, Whole ? KeyState::Ran : KeyState::Unknown, Whole ? Report.Status : 0);
    this->startWaiting(Now);
    return;
  }
  const bool NotRun = !Report.Sent || (Report.Outcome == AttemptOutcome::Shed &&
                                       Request.Routed.Destination.ShedIsNotRun);
  const RunOutcome Outcome = NotRun ? RunOutcome::NotRun : RunOutcome::Unknown;
  switch (Report.Outcome) {
  case AttemptOutcome::DeadlineExceeded:
    this->refuse(Number,
                 makeRefusal(504, Outcome, "the target did not answer before the deadline"));
    break;
  case AttemptOutcome::Shed:
    this->refuse(Number, makeRefusal(503, Outcome, "the target shed the request"));
    break;
  case AttemptOutcome::Cancelled:
    this->finish(Number, NotRun ? KeyState::NotRun : KeyState::Unknown, 0);
    break;
  case AttemptOutcome::Succeeded:
  case AttemptOutcome::Failed:
    this->refuse(Number, makeRefusal(502, Outcome, "the target failed before it answered"));
    break;
  }
  this->startWaiting(Now);
}

void EntryNode::onCallerGone(RequestNumber Number, TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end() || Found->second.Running) {
    return;
  }
  const auto Owned = this->Groups.find(Found->second.Group);
  if (Owned != this->Groups.end()) {
    Owned->second.Policy->cancel(Number, Now);
  }
  this->finish(Number, KeyState::NotRun, 0);
}

std::variant<EntryAnswer, Refusal> EntryNode::entriesFor(const std::string &Authorization,
                                                         TimePoint Now) {
  const Customer *Caller = this->Router.authenticate(this->Settings.snapshot(), Authorization);
  if (!Caller) {
    return makeRefusal(401, RunOutcome::NotRun, "unknown caller or wrong key");
  }
  EntryAnswer Answer;
  Answer.Entries =
      this->entryAddresses(this->Router.allowedRegions(this->Settings.snapshot(), *Caller));
  Answer.TimeToKeep = EntryAnswerLifetime;
  if (!this->Stopping) {
    Answer.Ticket = this->newTicket(Caller->Name, Now);
  }
  return Answer;
}

void EntryNode::onTick(TimePoint Now) {
  for (auto &[Id, Owned] : this->Groups) {
    for (const RequestNumber Number : Owned.Policy->expire(Now)) {
      this->refuse(Number,
                   makeRefusal(504, RunOutcome::NotRun, "no slot free before the deadline"));
    }
  }
  this->startWaiting(Now);
}

std::optional<TimePoint> EntryNode::nextWakeup(TimePoint Now) const {
  std::optional<TimePoint> Result;
  for (const auto &[Id, Owned] : this->Groups) {
    const auto Next = Owned.Policy->nextWakeup(Now);
    if (Next && (!Result || *Next < *Result)) {
      Result = Next;
    }
  }
  return Result;
}

void EntryNode::beginStop(TimePoint) { this->Stopping = true; }

std::vector<Effect> EntryNode::takeEffects() { return std::exchange(this->Effects, {}); }

std::vector<std::pair<GroupId, std::vector<TargetStatus>>> EntryNode::targetStatus() const {
  std::vector<std::pair<GroupId, std::vector<TargetStatus>>> Result;
  for (const auto &[Id, Owned] : this->Groups) {
    Result.emplace_back(Id, Owned.Policy->status());
  }
  return Result;
}

std::optional<Refusal> EntryNode::admitKey(const RequestHead &Head, const RoutedRequest &Routed,
                                           TimePoint Now, bool &Admitted) {
  if (Routed.Path.Repeatable || (Head.Forwarded && Head.Forwarded->KeyAdmitted)) {
    return std::nullopt;
  }
  const CustomerName &Customer = Routed.Caller.Name;
  const auto Ticket = parseKeyTicket(Head.IdempotencyKey, Customer, this->Seals);
  if (!Ticket) {
    Refusal Answer =
        makeRefusal(428, RunOutcome::NotRun,
                    "the route needs an Idempotency-Key of the form <ticket>.<suffix>");
    Answer.Ticket = this->newTicket(Customer, Now);
    return Answer;
  }
  if (Ticket->Issuer != this->Self.Vm || Ticket->IssuerIncarnation != this->Self.Run) {
    return makeRefusal(409, RunOutcome::Unknown, "the entry that issued the key is not reachable");
  }
  if (Ticket->Expiry <= Now) {
    return makeRefusal(409, RunOutcome::Unknown, "the ticket of the key has expired");
  }
  switch (this->Ledger.begin(Customer, Head.IdempotencyKey, Ticket->Expiry, Now)) {
  case KeyAdmission::Admitted:
    Admitted = true;
    return std::nullopt;
  case KeyAdmission::Duplicate:
    return this->keyRefusal(Head, Customer);
  case KeyAdmission::LedgerFull:
    return makeRefusal(429, RunOutcome::NotRun, "too many idempotency keys in use at this entry");
  }
  return std::nullopt;
}

Refusal EntryNode::keyRefusal(const RequestHead &Head, const CustomerName &Customer) const {
  const auto Known = this->Ledger.find(Customer, Head.IdempotencyKey);
  std::string Reason = "a request with this key may have run";
  if (Known && Known->State == KeyState::Started) {
    Reason = "a request with this key is in progress";
  }
  if (Known && Known->State == KeyState::Ran) {
    Reason = "a request with this key ran with status " + std::to_string(Known->Status);
  }
  return makeRefusal(409, RunOutcome::Unknown, std::move(Reason));
}

std::string EntryNode::newTicket(const CustomerName &Customer, TimePoint Now) const {
  return formatTicket({this->Self.Vm, this->Self.Run, Customer, Now + TicketLifetime}, this->Seals);
}

std::vector<std::string> EntryNode::entryAddresses(const std::vector<RegionName> &Regions) const {
  std::vector<std::string> Result;
  for (const RegionName &Region : Regions) {
    for (const Vm &Machine : this->Vms.Vms) {
      const FailureDomain *Domain = this->Settings.snapshot().findDomain(Machine.Domain);
      if (Machine.Role != VmRole::Entry || Machine.State != VmState::Live || !Domain ||
          Domain->TakenOut || Domain->Region != Region ||
          (this->Stopping && Machine.Name == this->Self.Vm)) {
        continue;
      }
      Result.push_back(Machine.Address + ":" + std::to_string(Machine.Port));
    }
  }
  return Result;
}

EntryNode::Group *EntryNode::bestGroup(const ServiceName &Service, const RegionName &Region) {
  Group *Best = nullptr;
  DispatchLoad BestLoad;
  for (auto &[Id, Owned] : this->Groups) {
    if (Id.Service != Service || Id.Region != Region) {
      continue;
    }
    const DispatchLoad Load = Owned.Policy->load();
    const bool Better = Load.SpareSlots > BestLoad.SpareSlots ||
                        (Load.SpareSlots == BestLoad.SpareSlots && Load.Queued < BestLoad.Queued);
    if (!Best || Better) {
      Best = &Owned;
      BestLoad = Load;
    }
  }
  return Best;
}

void EntryNode::enqueue(RequestNumber Number, ActiveRequest &Request, TimePoint Now) {
  Group *Destination = nullptr;
  for (auto &[Id, Owned] : this->Groups) {
    if (Id.Service == Request.Routed.Destination.Name && Id.Region == this->Self.Region) {
      Request.Group = Id;
      Destination = &Owned;
      break;
    }
  }
  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Customer = Request.Routed.Caller.Name;
  Queued.Weight = Request.Routed.Caller.Weight;
  Queued.MaxInFlight = Request.Routed.Caller.MaxInFlight;
  Queued.Class = Request.Routed.Path.Class;
  Queued.Deadline = Request.Deadline;
  const EnqueueOutcome Outcome =
      Destination ? Destination->Policy->enqueue(Queued, Now) : EnqueueOutcome::Overloaded;
  if (Outcome == EnqueueOutcome::Queued) {
    this->startWaiting(Now);
    return;
  }
  Refusal Answer = makeRefusal(Outcome == EnqueueOutcome::CustomerLimit ? 429 : 503,
                               RunOutcome::NotRun, "no capacity before the deadline");
  Answer.RetryAfter = DefaultRetryAfter;
  this->refuse(Number, std::move(Answer));
}

void EntryNode::finish(RequestNumber Number, KeyState State, int Status) {
  const auto Found = this->Requests.find(Number);
  if (!Found->second.AdmittedKey.empty()) {
    this->Ledger.finish(Found->second.Routed.Caller.Name, Found->second.AdmittedKey, State, Status);
  }
  this->Requests.erase(Found);
}

void EntryNode::refuse(RequestNumber Number, Refusal Answer) {
  const KeyState State =
      Answer.Outcome == RunOutcome::NotRun ? KeyState::NotRun : KeyState::Unknown;
  this->finish(Number, State, 0);
  this->Effects.emplace_back(RefuseRequest{Number, std::move(Answer)});
}

void EntryNode::rebuildGroups(TimePoint Now) {
  this->Targets = computeGroups(this->Settings.snapshot(), this->Vms);
  for (const auto &[Id, Members] : this->Targets) {
    if (Id.Region != this->Self.Region) {
      continue;
    }
    Group &Owned = this->Groups[Id];
    if (!Owned.Policy) {
      Owned.Policy = std::make_unique<OwnerQueuePolicy>();
    }
    std::vector<DispatchTarget> Usable;
    for (const GroupTarget &Each : Members) {
      Usable.push_back({Each.Target, Each.Slots});
      Owned.Destinations.insert_or_assign(Each.Target, Each.Destination);
    }
    Owned.Policy->setTargets(Usable, Now);
  }
  this->startWaiting(Now);
}

void EntryNode::startWaiting(TimePoint Now) {
  for (auto &[Id, Owned] : this->Groups) {
    for (const Assignment &Next : Owned.Policy->assign(Now)) {
      ActiveRequest &Request = this->Requests.at(Next.Request);
      Request.Running = true;
      this->Effects.emplace_back(StartAttempt{Next.Request, Next.Target,
                                              Owned.Destinations.at(Next.Target), Request.Deadline,
                                              Request.Routed.Path.Repeatable});
    }
  }
}

} // namespace anvilsaddle
