#include "coordination/Dispatcher.h"

#include "coordination/RandomSource.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// A target that just answered gets the next request if it is at most this many times slower than
/// usual.
constexpr double HandOverFactor = 2;
/// Part of the slots that are left to other entries when an answer frees them, so that one without
/// requests under way finds some.
constexpr double ReleasedPart = 0.25;
/// A request that has less than this part of the usual work left can't be served.
constexpr double LeastWorkPart = 0.5;
constexpr Duration HedgeAgain = 60ms;
constexpr Duration ShortestRetryAfter = 50ms;
constexpr Duration LongestRetryAfter = 2s;

} // namespace

Dispatcher::Dispatcher(Topology Places, const DispatchLimits &Terms, std::string Self,
                       RandomSource &Random)
    : Finder(std::move(Places), Terms.ColdStart, Self, Random), Remote(std::move(Self)),
      Retries(Terms.Retries), Random(Random) {}

void Dispatcher::setEntries(std::vector<std::string> Region, std::size_t Total) {
  this->Finder.setEntries(std::move(Region));
  this->Retries.setEntryCount(std::max<std::size_t>(1, Total));
}

std::size_t Dispatcher::queueLength() const {
  std::size_t Result = 0;
  for (const auto &[Name, Queue] : this->Queues) {
    Result += Queue.Waiting.size();
  }
  return Result;
}

RouteEstimator::Expected Dispatcher::expected(const DispatchRequest &Current, TimePoint Now) const {
  RouteEstimator::Expected Result =
      this->Estimates.expected(Current.Terms.Route, Current.Terms.Objective);
  Result.FullFactor = this->Fullness.factor(Current.Terms.Service, Now);
  return Result;
}

SearchSubject Dispatcher::subject(const DispatchRequest &Current, TimePoint Now) const {
  return {Current.Terms, Current.usedNames(), this->expected(Current, Now)};
}

void Dispatcher::onRequest(RequestNumber Number, RequestAttributes Terms, TimePoint Now) {
  this->Retries.onRequest(Terms.Service, Now);
  DispatchRequest &Current = this->Requests[Number];
  Current.Terms = std::move(Terms);
  this->updateTimer(Number, Current);
  ServiceQueue &Queue = this->Queues[Current.Terms.Service];
  if (!Queue.Waiting.empty()) {
    this->enqueue(Number, false, Now);
    return;
  }
  this->startSearch(Number, false, Now);
}

void Dispatcher::onCallerDisconnected(RequestNumber Number, TimePoint Now) {
  if (this->Requests.contains(Number)) {
    this->forget(Number, std::nullopt, Now);
  }
}

// Searches

void Dispatcher::startSearch(RequestNumber Number, bool IsHedge, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  Current.Looking = TargetSearch{SearchStage::Domain, IsHedge, Now, Now, {}};
  this->evaluate(Number, Now);
}

void Dispatcher::endSearch(DispatchRequest &Current) {
  Current.Looking.reset();
  if (std::exchange(Current.Queued, false)) {
    ServiceQueue &Queue = this->Queues[Current.Terms.Service];
    Queue.onSearchEnded();
  }
}

bool Dispatcher::addStage(DispatchRequest &Current, SearchStage Last, TimePoint Now) {
  const auto Probes =
      this->Finder.addStage(*Current.Looking, this->subject(Current, Now), Last, Now);
  if (!Probes) {
    return false;
  }
  this->Effects.insert(this->Effects.end(), Probes->begin(), Probes->end());
  return true;
}

void Dispatcher::evaluate(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  const RouteEstimator::Expected Work = this->expected(Current, Now);
  while (true) {
    std::vector<PlacementCandidate> Known = this->Finder.answered(*Current.Looking, true, Now);
    auto Best = placement::choose(Known, Work, this->Random.uniform());
    if (Best && placement::isGood(*Best, Work) &&
        this->tryAccept(Number, *Best, Known.size(), Now)) {
      return;
    }
    const TargetSearch &Looking = *Current.Looking;
    if (this->Finder.isWaiting(Looking, Now)) {
      this->updateTimer(Number, Current);
      return;
    }
    if (this->addStage(Current, SearchStage::Reserve, Now)) {
      continue;
    }
    if (Looking.Next == SearchStage::Remote && this->tryForward(Number, Now)) {
      return;
    }
    if (this->addStage(Current, SearchStage::Remote, Now)) {
      continue;
    }
    if (!Best || !Best->HasRoom) {
      Known = this->Finder.answered(Looking, false, Now);
      Best = placement::choose(Known, Work, this->Random.uniform());
    }
    const bool HasRoom = Best && Best->HasRoom && !Looking.IsHedge;
    if (!HasRoom || !this->tryAccept(Number, *Best, Known.size(), Now)) {
      this->onSearchFailed(Number, Now);
    }
    return;
  }
}

bool Dispatcher::tryAccept(RequestNumber Number, const PlacementChoice &Choice,
                           std::size_t Candidates, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  TargetState *View = this->targets().find(Current.Looking->Candidates[Choice.Index]);
  if (!View || !this->targets().isUsable(View->Registration.Name) ||
      Now >= Current.Terms.Deadline) {
    return false;
  }
  if (!Current.Attempts.empty() && !this->Retries.tryTake(Current.Terms.Service, Now)) {
    return false;
  }
  const bool IsHedge = Current.Looking->IsHedge;
  this->endSearch(Current);
  this->send(Number, *View, Choice,
             {*View->Load, Now - View->LoadTime, Choice.Cost, Candidates, IsHedge}, Now);
  return true;
}

void Dispatcher::send(RequestNumber Number, TargetState &View, const PlacementChoice &Choice,
                      PlacementDetails Note, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  const TargetName Name = View.Registration.Name;
  this->Finder.onSent(Name, Now);
  const auto Index = static_cast<AttemptNumber>(Current.Attempts.size());
  Occupancy Place = Occupancy::Room;
  if (Choice.Busy + 1 >= Note.Load.Slots && Note.Load.Slots > 1) {
    Place = Choice.Busy < Note.Load.Slots ? Occupancy::LastSlot : Occupancy::Queued;
  }
  Current.Attempts.push_back(
      {Name, View.Registration.Address, Now, Note.Load.Slowdown, Place, 1, true});
  Current.HedgeAt = Current.hedgeTime(this->expected(Current, Now).Work, Note.ExpectedCost, Now);
  this->updateTimer(Number, Current);
  const ServiceName Service = Current.Terms.Service;
  this->Queues[Service].onSent(Now);
  this->Effects.emplace_back(SendAttempt{Number, Index, Name, View.Registration.Address,
                                         Current.Terms.Deadline, Current.Terms.Idempotent, Note,
                                         std::nullopt});
  // The same reports may show room for the next one.
  this->runQueue(Service, Now);
}

bool Dispatcher::tryForward(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  const RequestAttributes &Terms = Current.Terms;
  if (Terms.IsForwarded || Current.Forwarded || Current.hasRunning()) {
    return false;
  }
  const SearchSubject Subject = this->subject(Current, Now);
  const Duration Detour = placement::remoteCost(Subject.Work.ResponseBytes);
  if (!this->Finder.wantsRemote(*Current.Looking, Subject, Detour, Now)) {
    return false;
  }
  const auto Entry = this->Remote.choose(this->Finder.remoteRegions(Subject, Now), Terms.Service,
                                         this->Random.uniform(), Now);
  if (!Entry || (!Current.Attempts.empty() && !this->Retries.tryTake(Terms.Service, Now))) {
    return false;
  }
  this->endSearch(Current);
  Current.Forwarded = true;
  const std::uint32_t Left = Terms.MaxTargets - Current.usedTargets();
  ForwardOptions Forward;
  // One target is kept for the case that the other region falls silent.
  Forward.MaxTargets = Terms.Idempotent && Left > 1 ? Left - 1 : Left;
  Forward.MayQueue = !this->Finder.hasLocal(Subject, Now);
  Forward.Elapsed = Now - Terms.Received;
  const auto Index = static_cast<AttemptNumber>(Current.Attempts.size());
  const TargetName Name(Entry->Address);
  Current.Attempts.push_back(
      {Name, *Entry, Now, 1, Occupancy::Elsewhere, Forward.MaxTargets, true});
  PlacementDetails Note;
  Note.ExpectedCost = Detour + Subject.Work.Work;
  Current.HedgeAt = Current.hedgeTime(this->expected(Current, Now).Work, Note.ExpectedCost, Now);
  this->updateTimer(Number, Current);
  this->Effects.emplace_back(
      SendAttempt{Number, Index, Name, *Entry, Terms.Deadline, Terms.Idempotent, Note, Forward});
  return true;
}

void Dispatcher::onSearchFailed(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  const bool IsHedge = Current.Looking && Current.Looking->IsHedge;
  const bool WasQueued = Current.Queued;
  this->endSearch(Current);
  if (WasQueued) {
    ServiceQueue &Queue = this->Queues[Current.Terms.Service];
    Queue.onNoRoom();
  }
  if (IsHedge && Current.hasRunning()) {
    Current.HedgeAt = Now + HedgeAgain;
    this->updateTimer(Number, Current);
    return;
  }
  this->enqueue(Number, WasQueued, Now);
}

// Hedges

void Dispatcher::onHedgeDue(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  Current.HedgeAt.reset();
  if (Current.Looking || Current.Queued || !Current.hasRunning()) {
    return;
  }
  if (!this->canRepeat(Current, Now)) {
    Current.HedgeAt = Now + HedgeAgain;
    return;
  }
  this->startSearch(Number, true, Now);
}

// Queue

void Dispatcher::enqueue(RequestNumber Number, bool IsBack, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  if (!Current.Terms.MayQueue) {
    this->finishWithoutTarget(Number, "no target has room for another region", Now);
    return;
  }
  const RouteEstimator::Expected Work = this->expected(Current, Now);
  ServiceQueue &Queue = this->Queues[Current.Terms.Service];
  const Duration Wait =
      Queue.Waiting.expectedWait(Current.Terms, Work.Work, Now).value_or(Duration(0));
  if (Now + Wait + scaled(Work.Work, LeastWorkPart) >= Current.Terms.Deadline) {
    this->finishWithoutTarget(Number, "no target has room in time", Now);
    return;
  }
  if (Queue.Waiting.empty()) {
    Queue.onFirst(IsBack);
    Queue.planSearch(this->Random.uniform(), Now);
  }
  Queue.Waiting.push(Number, Current.Terms, Work.Work, IsBack, Now);
  this->updateTimer(Number, Current);
}

void Dispatcher::refuseHopeless(DispatchQueue &Queue, TimePoint Now) {
  while (const auto Wait = Queue.waitOfLast(Now)) {
    const RequestNumber Last = *Queue.last();
    const DispatchRequest &Current = this->Requests.at(Last);
    const Duration Least = scaled(this->expected(Current, Now).Work, LeastWorkPart);
    if (Now + *Wait + Least < Current.Terms.Deadline) {
      return;
    }
    this->finishWithoutTarget(Last, "no target will have room in time", Now);
  }
}

std::optional<RequestNumber> Dispatcher::takeFirst(ServiceQueue &Queue, TimePoint Now) {
  this->refuseHopeless(Queue.Waiting, Now);
  if (!Queue.maySearch()) {
    return std::nullopt;
  }
  const auto First = Queue.Waiting.first(Now);
  if (!First) {
    return std::nullopt;
  }
  Queue.Waiting.remove(*First);
  DispatchRequest &Current = this->Requests.at(*First);
  const Duration Least = scaled(this->expected(Current, Now).Work, LeastWorkPart);
  if (Now + Least >= Current.Terms.Deadline) {
    this->finishWithoutTarget(*First, "no target had room in time", Now);
    return std::nullopt;
  }
  Current.Queued = true;
  Queue.onSearchStarted();
  return First;
}

void Dispatcher::runQueue(const ServiceName &Service, TimePoint Now) {
  ServiceQueue &Queue = this->Queues[Service];
  if (Queue.Waiting.empty()) {
    return;
  }
  Queue.planSearch(this->Random.uniform(), Now);
  if (const auto First = this->takeFirst(Queue, Now)) {
    this->startSearch(*First, false, Now);
  }
}

void Dispatcher::handOver(const ServiceName &Service, const TargetName &Name, TimePoint Now) {
  ServiceQueue &Queue = this->Queues[Service];
  if (Queue.Waiting.empty() || this->Random.uniform() < ReleasedPart) {
    return;
  }
  const auto First = this->takeFirst(Queue, Now);
  if (!First) {
    return;
  }
  DispatchRequest &Current = this->Requests.at(*First);
  Current.Looking = TargetSearch{SearchStage::Domain, false, Now, Now, {}};
  const SearchSubject Subject = this->subject(Current, Now);
  if (this->Finder.addOffered(*Current.Looking, Subject, Name, Now)) {
    const auto Known = this->Finder.answered(*Current.Looking, true, Now);
    const auto Offer = placement::choose(Known, Subject.Work, 0);
    if (Offer && Offer->Ahead == 0 && Offer->Cost <= Subject.Work.Work * HandOverFactor &&
        this->tryAccept(*First, *Offer, Known.size(), Now)) {
      return;
    }
  }
  this->endSearch(Current);
  this->enqueue(*First, true, Now);
}

Duration Dispatcher::retryAfter(const DispatchRequest &Current, TimePoint Now) {
  const Duration Work = this->expected(Current, Now).Work;
  const Duration Wait = this->Queues[Current.Terms.Service]
                            .Waiting.expectedWait(Current.Terms, Work, Now)
                            .value_or(Work);
  // Callers that were refused together come back spread over the time of the wait.
  const Duration Spread = scaled(Wait, 0.5 + this->Random.uniform());
  return std::clamp(Spread, ShortestRetryAfter, LongestRetryAfter);
}

// Attempts

bool Dispatcher::canRepeat(const DispatchRequest &Current, TimePoint Now) {
  const Duration Least = scaled(this->expected(Current, Now).Work, LeastWorkPart);
  return Current.mayRepeat() && Now + Least < Current.Terms.Deadline &&
         this->Retries.hasRoom(Current.Terms.Service, Now);
}

void Dispatcher::onAttemptEnd(RequestNumber Number, AttemptNumber Index, const AttemptResult &End,
                              TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end() || Index >= Found->second.Attempts.size() ||
      !Found->second.Attempts[Index].Running) {
    return;
  }
  DispatchRequest &Current = Found->second;
  DispatchAttempt &Ended = Current.Attempts[Index];
  Ended.Running = false;
  if (Ended.Place == Occupancy::Elsewhere && End.Outcome != AttemptOutcome::Succeeded) {
    this->onForwardFailed(Current, Ended, End.Outcome, Now);
  }
  const bool Failed =
      End.Outcome != AttemptOutcome::Succeeded && End.Outcome != AttemptOutcome::NotExecuted;
  this->targets().onAttemptEnd(Ended.Target, Failed, Now);
  if (End.Load) {
    this->targets().onLoad(Ended.Target, *End.Load, Now);
  }
  const ServiceName Service = Current.Terms.Service;
  const TargetName Name = Ended.Target;
  switch (End.Outcome) {
  case AttemptOutcome::Succeeded:
    this->learn(Current, Ended, End, Now);
    this->deliver(Number, Index, Now);
    break;
  case AttemptOutcome::TargetError:
    Current.MayHaveRun = true;
    Current.ErrorAnswer = Index;
    this->onFailedAttempt(Number, Now);
    break;
  case AttemptOutcome::Interrupted:
    Current.MayHaveRun = true;
    this->onFailedAttempt(Number, Now);
    break;
  case AttemptOutcome::NotExecuted:
  case AttemptOutcome::NotSent:
    this->onFailedAttempt(Number, Now);
    break;
  }
  if (End.Load) {
    this->handOver(Service, Name, Now);
  }
}

void Dispatcher::onForwardFailed(const DispatchRequest &Current, DispatchAttempt &Ended,
                                 AttemptOutcome Outcome, TimePoint Now) {
  this->Remote.onRefused(Ended.Address, Current.Terms.Service, Now);
  if (Outcome == AttemptOutcome::NotExecuted || Outcome == AttemptOutcome::NotSent) {
    Ended.Targets = 0;
  }
}

void Dispatcher::learn(const DispatchRequest &Current, const DispatchAttempt &Ended,
                       const AttemptResult &End, TimePoint Now) {
  const Duration Elapsed = Now - Ended.Sent;
  if (Ended.Place == Occupancy::Room) {
    this->Estimates.onAnswer(Current.Terms.Route, Current.Terms.Objective, Elapsed, Ended.Slowdown,
                             static_cast<double>(End.ResponseBytes));
  } else if (Ended.Place == Occupancy::LastSlot) {
    const Duration Usual = scaled(this->expected(Current, Now).Work, std::max(1.0, Ended.Slowdown));
    this->Fullness.onAnswer(
        Current.Terms.Service,
        std::chrono::duration<double>(Elapsed) / std::chrono::duration<double>(Usual), Now);
  }
}

void Dispatcher::onFailedAttempt(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  if (Current.hasRunning() || Current.Looking) {
    return;
  }
  if (this->canRepeat(Current, Now)) {
    this->startSearch(Number, false, Now);
    return;
  }
  this->finishWithoutTarget(Number, "no further attempt is allowed", Now);
}

void Dispatcher::finishWithoutTarget(RequestNumber Number, const std::string &Reason,
                                     TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  if (Current.ErrorAnswer) {
    this->deliver(Number, *Current.ErrorAnswer, Now);
    return;
  }
  if (Current.MayHaveRun || Current.hasRunning()) {
    const bool IsLate = Now >= Current.Terms.Deadline;
    this->refuse(Number, IsLate ? RefusalKind::TimedOut : RefusalKind::TargetFailed, Reason,
                 Duration(0), Now);
    return;
  }
  this->refuse(Number, RefusalKind::NotExecuted, Reason, this->retryAfter(Current, Now), Now);
}

void Dispatcher::onResponseCommitted(RequestNumber Number, AttemptNumber Index, TimePoint Now) {
  if (this->Requests.contains(Number)) {
    this->forget(Number, Index, Now);
  }
}

void Dispatcher::deliver(RequestNumber Number, AttemptNumber Index, TimePoint Now) {
  this->Effects.emplace_back(DeliverResponse{Number, Index});
  this->forget(Number, Index, Now);
}

void Dispatcher::refuse(RequestNumber Number, RefusalKind Kind, std::string Reason,
                        Duration RetryAfter, TimePoint Now) {
  this->forget(Number, std::nullopt, Now);
  this->Effects.emplace_back(RefuseRequest{Number, Kind, std::move(Reason), RetryAfter});
}

void Dispatcher::forget(RequestNumber Number, std::optional<AttemptNumber> Kept, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  const ServiceName Service = Current.Terms.Service;
  for (std::size_t Index = 0; Index < Current.Attempts.size(); ++Index) {
    const DispatchAttempt &Each = Current.Attempts[Index];
    if (!Each.Running) {
      continue;
    }
    this->targets().onAttemptEnd(Each.Target, false, Now);
    const auto Attempt = static_cast<AttemptNumber>(Index);
    if (Attempt != Kept) {
      this->Effects.emplace_back(CancelAttempt{Number, Attempt});
    }
  }
  this->endSearch(Current);
  this->Queues[Service].Waiting.remove(Number);
  this->Timers.erase({Current.Timer, Number});
  this->Requests.erase(Number);
}

// Events and time

void Dispatcher::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  this->Finder.onProbe(Name, Report, Now);
  this->wakeSearches(Name, Now);
}

void Dispatcher::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  this->Finder.onProbeFailed(Name, Reason, Now);
  this->wakeSearches(Name, Now);
}

void Dispatcher::wakeSearches(const TargetName &Name, TimePoint Now) {
  std::vector<RequestNumber> Waiting;
  for (const auto &[Number, Each] : this->Requests) {
    if (Each.Looking && std::find(Each.Looking->Candidates.begin(), Each.Looking->Candidates.end(),
                                  Name) != Each.Looking->Candidates.end()) {
      Waiting.push_back(Number);
    }
  }
  for (const RequestNumber Number : Waiting) {
    const auto Found = this->Requests.find(Number);
    if (Found != this->Requests.end() && Found->second.Looking) {
      this->evaluate(Number, Now);
    }
  }
}

void Dispatcher::updateTimer(RequestNumber Number, DispatchRequest &Current) {
  TimePoint Next = Current.Terms.Deadline;
  if (Current.Looking) {
    Next = std::min(Next, Current.Looking->StageEnds);
  }
  if (Current.HedgeAt) {
    Next = std::min(Next, *Current.HedgeAt);
  }
  this->Timers.erase({Current.Timer, Number});
  Current.Timer = Next;
  this->Timers.insert({Next, Number});
}

void Dispatcher::onRequestTimer(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Current = this->Requests.at(Number);
  if (Now >= Current.Terms.Deadline) {
    this->finishWithoutTarget(Number, "the time of the request is over", Now);
    return;
  }
  if (Current.HedgeAt && *Current.HedgeAt <= Now) {
    this->onHedgeDue(Number, Now);
  }
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return;
  }
  if (Found->second.Looking && Found->second.Looking->StageEnds <= Now) {
    this->evaluate(Number, Now);
  }
  if (const auto Left = this->Requests.find(Number); Left != this->Requests.end()) {
    this->updateTimer(Number, Left->second);
  }
}

void Dispatcher::onTick(TimePoint Now) {
  this->targets().onTick(Now);
  std::vector<RequestNumber> Due;
  for (auto Next = this->Timers.begin(); Next != this->Timers.end() && Next->first <= Now; ++Next) {
    Due.push_back(Next->second);
  }
  for (const RequestNumber Number : Due) {
    if (this->Requests.contains(Number)) {
      this->onRequestTimer(Number, Now);
    }
  }
  std::vector<ServiceName> Waiting;
  for (const auto &[Name, Queue] : this->Queues) {
    if (Queue.isSearchDue(Now)) {
      Waiting.push_back(Name);
    }
  }
  for (const ServiceName &Name : Waiting) {
    this->runQueue(Name, Now);
  }
}

std::optional<TimePoint> Dispatcher::nextWakeup() const {
  std::optional<TimePoint> Result;
  if (!this->Timers.empty()) {
    Result = this->Timers.begin()->first;
  }
  for (const auto &[Name, Queue] : this->Queues) {
    if (!Queue.Waiting.empty() && Queue.maySearch()) {
      Result = Result ? std::min(*Result, Queue.nextSearch()) : Queue.nextSearch();
    }
  }
  return Result;
}

} // namespace anvilsaddle
