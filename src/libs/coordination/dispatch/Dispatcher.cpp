#include "coordination/dispatch/Dispatcher.h"

#include "coordination/RandomSource.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// A target whose slot has just become free gets the next queued request if its expected cost is at
/// most this many times the usual processing time.
constexpr double FreedSlotMaxCostFactor = 2;
/// Fraction of the freed slots that are left to other entries, so that an entry without running
/// requests finds free slots.
constexpr double ReleasedSlotFraction = 0.25;
/// The same while all queued requests miss their objective. Requests of other entries that can
/// still meet theirs then find the freed slots.
constexpr double LateReleasedSlotFraction = 0.9;
/// Fraction of the searches in which a request that misses its objective may take the last usable
/// slot of a target. In the others it leaves the slot to requests that can still meet theirs.
constexpr double LateLastSlotFraction = 0.2;
/// A request can't be served in time if less than this fraction of the usual processing time is
/// left until its deadline.
constexpr double MinProcessingTimeFraction = 0.5;
/// An entry that shuts down takes a request only if so many times the usual processing time is
/// left. The margin is larger for requests that can't be repeated after they were broken off.
constexpr double IdempotentShutdownMargin = 2;
constexpr double NonIdempotentShutdownMargin = 4;
constexpr const char *ShutdownReason = "the entry ends";
constexpr Duration HedgeRecheckInterval = 60ms;
constexpr Duration MinRetryAfter = 50ms;
constexpr Duration MaxRetryAfter = 2s;

} // namespace

Dispatcher::Dispatcher(Topology FleetTopology, const DispatchLimits &Limits, std::string Self,
                       RandomSource &Random)
    : Finder(std::move(FleetTopology), Limits.ColdStart, Self, Random),
      EntriesOfOtherRegions(std::move(Self)), Retries(Limits.Retries), Random(Random) {}

void Dispatcher::setEntries(std::vector<std::string> RegionEntries, std::size_t FleetEntryCount) {
  this->Finder.setEntries(std::move(RegionEntries));
  const std::size_t EntryCount = std::max<std::size_t>(1, FleetEntryCount);
  this->Retries.setEntryCount(EntryCount);
  this->Estimates.saturation().setEntryCount(EntryCount);
}

std::size_t Dispatcher::queueLength() const {
  std::size_t Result = 0;
  for (const auto &[Name, Queue] : this->Queues) {
    Result += Queue.Requests.size();
  }
  return Result;
}

SearchContext Dispatcher::searchContext(const DispatchRequest &Request, TimePoint Now) const {
  return {Request.Attributes, Request.usedTargetNames(),
          this->Estimates.estimate(Request.Attributes, Now)};
}

void Dispatcher::beginShutdown(TimePoint FinalResponseTime, TimePoint Now) {
  this->ShutdownTime = std::min(this->ShutdownTime.value_or(FinalResponseTime), FinalResponseTime);
  for (auto &[Number, Request] : this->Requests) {
    Request.Attributes.Deadline = std::min(Request.Attributes.Deadline, *this->ShutdownTime);
    this->updateTimer(Number, Request);
  }
  for (auto &[Name, Queue] : this->Queues) {
    this->refuseUnservableRequests(Queue.Requests, Now);
  }
}

bool Dispatcher::isLimitedByShutdown(const RequestAttributes &Attributes) const {
  return this->ShutdownTime && Attributes.Deadline >= *this->ShutdownTime;
}

bool Dispatcher::canEndBeforeShutdown(const DispatchRequest &Request, TimePoint Now) const {
  if (!this->isLimitedByShutdown(Request.Attributes)) {
    return true;
  }
  const double Margin =
      Request.Attributes.Idempotent ? IdempotentShutdownMargin : NonIdempotentShutdownMargin;
  return Now + scaled(this->Estimates.estimate(Request.Attributes, Now).ProcessingTime, Margin) <
         *this->ShutdownTime;
}

void Dispatcher::onRequest(RequestNumber Number, RequestAttributes Attributes, TimePoint Now) {
  this->Retries.onRequest(Attributes.Service, Now);
  DispatchRequest &Request = this->Requests[Number];
  Request.Attributes = std::move(Attributes);
  if (!this->canEndBeforeShutdown(Request, Now)) {
    this->refuse(Number, RefusalKind::NotExecuted, ShutdownReason, MinRetryAfter, Now);
    return;
  }
  if (this->ShutdownTime) {
    Request.Attributes.Deadline = std::min(Request.Attributes.Deadline, *this->ShutdownTime);
  }
  this->updateTimer(Number, Request);
  ServiceQueue &Queue = this->Queues[Request.Attributes.Service];
  if (!Queue.Requests.empty() && !Queue.Requests.allMissObjective(Now)) {
    this->enqueue(Number, false, Now);
    return;
  }
  this->startSearch(Number, false, Now);
}

void Dispatcher::onCallerDisconnected(RequestNumber Number, TimePoint Now) {
  if (this->Requests.contains(Number)) {
    this->removeRequest(Number, Now);
  }
}

// Searches

void Dispatcher::startSearch(RequestNumber Number, bool IsHedge, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  Request.Search = TargetSearch{SearchStage::Domain, IsHedge, false, Now, Now, {}};
  const Duration ProcessingTime = this->Estimates.estimate(Request.Attributes, Now).ProcessingTime;
  const bool MissesObjective =
      Request.Attributes.ReceivedAt + Request.Attributes.Objective < Now + ProcessingTime;
  Request.Search->LeavesLastSlot =
      MissesObjective && this->Random.uniform() >= LateLastSlotFraction;
  this->advanceSearch(Number, Now);
}

void Dispatcher::endSearch(DispatchRequest &Request) {
  Request.Search.reset();
  if (std::exchange(Request.IsFromQueue, false)) {
    ServiceQueue &Queue = this->Queues[Request.Attributes.Service];
    Queue.onSearchEnded();
  }
}

bool Dispatcher::addNextStage(DispatchRequest &Request, SearchStage LastStage, TimePoint Now) {
  const auto Probes =
      this->Finder.addNextStage(*Request.Search, this->searchContext(Request, Now), LastStage, Now);
  if (!Probes) {
    return false;
  }
  this->Effects.insert(this->Effects.end(), Probes->begin(), Probes->end());
  return true;
}

void Dispatcher::advanceSearch(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  const ProcessingTimeEstimator::Estimate Estimate =
      this->Estimates.estimate(Request.Attributes, Now);
  while (true) {
    std::vector<PlacementCandidate> Reported =
        this->Finder.reportedCandidates(*Request.Search, true, Now);
    auto Best = placement::chooseBest(Reported, Estimate, this->Random.uniform());
    const bool IsYielded = Best && Request.Search->LeavesLastSlot && Best->UsableSlotsLeft == 0;
    if (Best && !IsYielded && placement::isGoodEnough(*Best, Estimate) &&
        this->trySend(Number, *Best, Reported.size(), Now)) {
      return;
    }
    const TargetSearch &Search = *Request.Search;
    if (this->Finder.isAwaitingReports(Search, Now)) {
      this->updateTimer(Number, Request);
      return;
    }
    if (Search.LeavesLastSlot && Best) {
      // Where there is no overload, nearly every target has more than one usable slot left.
      this->onSearchFailed(Number, Now);
      return;
    }
    if (this->addNextStage(Request, SearchStage::Fallback, Now)) {
      continue;
    }
    if (Search.NextStage == SearchStage::Remote && this->tryForward(Number, Now)) {
      return;
    }
    if (this->addNextStage(Request, SearchStage::Remote, Now)) {
      continue;
    }
    if (Best && !Best->HasCapacity && this->tryExplore(Request, *Best, Now) &&
        this->trySend(Number, *Best, Reported.size(), Now)) {
      return;
    }
    if (!Best || !Best->HasCapacity) {
      Reported = this->Finder.reportedCandidates(Search, false, Now);
      Best = placement::chooseBest(Reported, Estimate, this->Random.uniform());
    }
    const bool MaySendToBest = Best && Best->HasCapacity && !Search.IsHedge;
    if (!MaySendToBest || !this->trySend(Number, *Best, Reported.size(), Now)) {
      this->onSearchFailed(Number, Now);
    }
    return;
  }
}

bool Dispatcher::tryExplore(const DispatchRequest &Request, const PlacementChoice &Choice,
                            TimePoint Now) {
  return !Request.Search->IsHedge && Choice.Occupancy &&
         this->Estimates.saturation().tryExplore(Request.Attributes.Service, *Choice.Occupancy,
                                                 this->Random.uniform(), Now);
}

bool Dispatcher::trySend(RequestNumber Number, const PlacementChoice &Choice,
                         std::size_t CandidateCount, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  TargetState *State = this->targets().find(Request.Search->Candidates[Choice.Index]);
  if (!State || !this->targets().isUsable(State->Registration.Name) ||
      Now >= Request.Attributes.Deadline) {
    return false;
  }
  if (!Request.Attempts.empty() && !this->Retries.tryAcquire(Request.Attributes.Service, Now)) {
    return false;
  }
  const bool IsHedge = Request.Search->IsHedge;
  this->endSearch(Request);
  this->send(Number, *State, Choice,
             {*State->Load, Now - State->LoadTime, Choice.Cost, CandidateCount, IsHedge}, Now);
  return true;
}

void Dispatcher::send(RequestNumber Number, TargetState &State, const PlacementChoice &Choice,
                      PlacementDetails Details, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  const TargetName Name = State.Registration.Name;
  this->Finder.onSent(Name, Now);
  const auto Attempt = static_cast<AttemptNumber>(Request.Attempts.size());
  DispatchAttempt Attempted;
  Attempted.Target = Name;
  Attempted.Address = State.Registration.Address;
  Attempted.SentAt = Now;
  Attempted.Slowdown = Details.Load.Slowdown;
  Attempted.Occupancy = Choice.Occupancy;
  Request.Attempts.push_back(std::move(Attempted));
  Request.HedgeAt = Request.hedgeTime(
      this->Estimates.estimate(Request.Attributes, Now).ProcessingTime, Details.ExpectedCost, Now);
  this->updateTimer(Number, Request);
  const ServiceName Service = Request.Attributes.Service;
  this->Queues[Service].onDispatched(Now);
  this->Effects.emplace_back(SendAttempt{Number, Attempt, Name, State.Registration.Address,
                                         Request.Attributes.Deadline, Request.Attributes.Idempotent,
                                         Details, std::nullopt});
  // The same load reports may show free capacity for the next queued request.
  this->startSearchForQueued(Service, Now);
}

bool Dispatcher::tryForward(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  const RequestAttributes &Attributes = Request.Attributes;
  if (Attributes.CameFromOtherEntry || Request.WasSentToOtherEntry || Request.hasRunningAttempt()) {
    return false;
  }
  const SearchContext Context = this->searchContext(Request, Now);
  const Duration AddedCost = placement::costOfOtherRegion(Context.Estimate.ResponseBytes);
  if (!this->Finder.shouldTryRemote(*Request.Search, Context, AddedCost, Now)) {
    return false;
  }
  const auto Entry = this->EntriesOfOtherRegions.choose(
      this->Finder.remoteRegions(Context, Now), Attributes.Service, this->Random.uniform(), Now);
  if (!Entry || (!Request.Attempts.empty() && !this->Retries.tryAcquire(Attributes.Service, Now))) {
    return false;
  }
  this->endSearch(Request);
  Request.WasSentToOtherEntry = true;
  const std::uint32_t TargetsLeft = Attributes.MaxTargets - Request.usedTargetCount();
  ForwardOptions Forward;
  // Keeps one target in reserve for the case that the other region does not respond.
  Forward.MaxTargets = Attributes.Idempotent && TargetsLeft > 1 ? TargetsLeft - 1 : TargetsLeft;
  Forward.MayQueue = !this->Finder.hasLocalTargets(Context, Now);
  Forward.Elapsed = Now - Attributes.ReceivedAt;
  Forward.Service = Attributes.Service;
  const auto Attempt = static_cast<AttemptNumber>(Request.Attempts.size());
  const TargetName Name(Entry->Address);
  DispatchAttempt Attempted;
  Attempted.Target = Name;
  Attempted.Address = *Entry;
  Attempted.SentAt = Now;
  Attempted.IsForwarded = true;
  Attempted.MaxTargets = Forward.MaxTargets;
  Request.Attempts.push_back(std::move(Attempted));
  PlacementDetails Details;
  Details.ExpectedCost = AddedCost + Context.Estimate.ProcessingTime;
  Request.HedgeAt = Request.hedgeTime(
      this->Estimates.estimate(Request.Attributes, Now).ProcessingTime, Details.ExpectedCost, Now);
  this->updateTimer(Number, Request);
  this->Effects.emplace_back(SendAttempt{Number, Attempt, Name, *Entry, Attributes.Deadline,
                                         Attributes.Idempotent, Details, Forward});
  return true;
}

void Dispatcher::onSearchFailed(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  const bool IsHedge = Request.Search && Request.Search->IsHedge;
  const bool IsFromQueue = Request.IsFromQueue;
  this->endSearch(Request);
  if (IsFromQueue) {
    ServiceQueue &Queue = this->Queues[Request.Attributes.Service];
    Queue.onSearchFailed();
  }
  if (IsHedge && Request.hasRunningAttempt()) {
    Request.HedgeAt = Now + HedgeRecheckInterval;
    this->updateTimer(Number, Request);
    return;
  }
  this->enqueue(Number, IsFromQueue, Now);
}

// Hedges

void Dispatcher::onHedgeDue(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  Request.HedgeAt.reset();
  if (Request.Search || Request.IsFromQueue || !Request.hasRunningAttempt()) {
    return;
  }
  if (!this->canRetry(Request, Now)) {
    Request.HedgeAt = Now + HedgeRecheckInterval;
    return;
  }
  this->startSearch(Number, true, Now);
}

// Queue

void Dispatcher::enqueue(RequestNumber Number, bool IsFromQueue, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  if (!Request.Attributes.MayQueue) {
    this->deliverErrorOrRefuse(Number, "no target has room for another region", Now);
    return;
  }
  const ProcessingTimeEstimator::Estimate Estimate =
      this->Estimates.estimate(Request.Attributes, Now);
  ServiceQueue &Queue = this->Queues[Request.Attributes.Service];
  const Duration Wait =
      Queue.Requests.expectedWait(Request.Attributes, Estimate.ProcessingTime, Now)
          .value_or(Duration(0));
  if (Now + Wait + scaled(Estimate.ProcessingTime, MinProcessingTimeFraction) >=
      Request.Attributes.Deadline) {
    this->deliverErrorOrRefuse(Number, "no target has room in time", Now);
    return;
  }
  if (Queue.Requests.empty()) {
    Queue.onNonEmpty(IsFromQueue);
    Queue.scheduleSearch(this->Random.uniform(), Now);
  }
  Queue.Requests.push(Number, Request.Attributes, Estimate.ProcessingTime, IsFromQueue, Now);
  this->updateTimer(Number, Request);
}

void Dispatcher::refuseUnservableRequests(DispatchQueue &Queue, TimePoint Now) {
  while (const auto Wait = Queue.expectedWaitOfBack(Now)) {
    const RequestNumber Last = *Queue.back();
    const DispatchRequest &Request = this->Requests.at(Last);
    const Duration MinProcessingTime =
        scaled(this->Estimates.estimate(Request.Attributes, Now).ProcessingTime,
               MinProcessingTimeFraction);
    if (Now + *Wait + MinProcessingTime < Request.Attributes.Deadline) {
      return;
    }
    this->deliverErrorOrRefuse(Last, "no target will have room in time", Now);
  }
}

std::optional<RequestNumber> Dispatcher::dequeueForSearch(ServiceQueue &Queue, TimePoint Now) {
  this->refuseUnservableRequests(Queue.Requests, Now);
  if (!Queue.maySearch()) {
    return std::nullopt;
  }
  const auto First = Queue.Requests.front(Now);
  if (!First) {
    return std::nullopt;
  }
  Queue.Requests.remove(*First);
  DispatchRequest &Request = this->Requests.at(*First);
  const Duration MinProcessingTime = scaled(
      this->Estimates.estimate(Request.Attributes, Now).ProcessingTime, MinProcessingTimeFraction);
  if (Now + MinProcessingTime >= Request.Attributes.Deadline) {
    this->deliverErrorOrRefuse(*First, "no target had room in time", Now);
    return std::nullopt;
  }
  Request.IsFromQueue = true;
  Queue.onSearchStarted();
  return First;
}

void Dispatcher::startSearchForQueued(const ServiceName &Service, TimePoint Now) {
  ServiceQueue &Queue = this->Queues[Service];
  if (Queue.Requests.empty()) {
    return;
  }
  Queue.scheduleSearch(this->Random.uniform(), Now);
  if (const auto First = this->dequeueForSearch(Queue, Now)) {
    this->startSearch(*First, false, Now);
  }
}

void Dispatcher::dispatchToFreedSlot(const ServiceName &Service, const TargetName &Name,
                                     TimePoint Now) {
  ServiceQueue &Queue = this->Queues[Service];
  const double ReleasedFraction =
      Queue.Requests.allMissObjective(Now) ? LateReleasedSlotFraction : ReleasedSlotFraction;
  if (Queue.Requests.empty() || this->Random.uniform() < ReleasedFraction) {
    return;
  }
  const auto First = this->dequeueForSearch(Queue, Now);
  if (!First) {
    return;
  }
  DispatchRequest &Request = this->Requests.at(*First);
  Request.Search = TargetSearch{SearchStage::Domain, false, false, Now, Now, {}};
  const SearchContext Context = this->searchContext(Request, Now);
  if (this->Finder.addReportedTarget(*Request.Search, Context, Name, Now)) {
    const auto Reported = this->Finder.reportedCandidates(*Request.Search, true, Now);
    const auto Choice = placement::chooseBest(Reported, Context.Estimate, 0);
    if (Choice && Choice->QueuedAhead == 0 &&
        Choice->Cost <= Context.Estimate.ProcessingTime * FreedSlotMaxCostFactor &&
        this->trySend(*First, *Choice, Reported.size(), Now)) {
      return;
    }
  }
  this->endSearch(Request);
  this->enqueue(*First, true, Now);
}

Duration Dispatcher::retryAfter(const DispatchRequest &Request, TimePoint Now) {
  if (this->isLimitedByShutdown(Request.Attributes)) {
    // Another entry can take the request at once.
    return MinRetryAfter;
  }
  const Duration ProcessingTime = this->Estimates.estimate(Request.Attributes, Now).ProcessingTime;
  const Duration Wait = this->Queues[Request.Attributes.Service]
                            .Requests.expectedWait(Request.Attributes, ProcessingTime, Now)
                            .value_or(ProcessingTime);
  // Callers that are refused at the same time spread their retries over the expected wait.
  const Duration JitteredWait = scaled(Wait, 0.5 + this->Random.uniform());
  return std::clamp(JitteredWait, MinRetryAfter, MaxRetryAfter);
}

// Attempts

bool Dispatcher::canRetry(const DispatchRequest &Request, TimePoint Now) {
  const Duration MinProcessingTime = scaled(
      this->Estimates.estimate(Request.Attributes, Now).ProcessingTime, MinProcessingTimeFraction);
  return Request.mayRetry() && Now + MinProcessingTime < Request.Attributes.Deadline &&
         this->Retries.canAcquire(Request.Attributes.Service, Now);
}

void Dispatcher::onAttemptEnd(RequestNumber Number, AttemptNumber Attempt,
                              const AttemptResult &Result, TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end() || Attempt >= Found->second.Attempts.size() ||
      !Found->second.Attempts[Attempt].IsRunning) {
    return;
  }
  DispatchRequest &Request = Found->second;
  DispatchAttempt &Ended = Request.Attempts[Attempt];
  Ended.IsRunning = false;
  if (Ended.IsForwarded && Result.Outcome != AttemptOutcome::Succeeded) {
    this->onForwardFailed(Request, Ended, Result.Outcome, Now);
  }
  const bool HasFailed =
      Result.Outcome != AttemptOutcome::Succeeded && Result.Outcome != AttemptOutcome::NotExecuted;
  this->targets().onAttemptEnd(Ended.Target, HasFailed, Now);
  if (Result.Load) {
    this->targets().onLoad(Ended.Target, *Result.Load, Now);
  }
  this->targets().onConditions(Ended.Target, Result.Conditions, Now);
  const ServiceName Service = Request.Attributes.Service;
  const TargetName Name = Ended.Target;
  switch (Result.Outcome) {
  case AttemptOutcome::Succeeded:
    this->Estimates.onResponse(Request.Attributes, Ended, Result, Now);
    this->deliver(Number, Attempt, Now);
    break;
  case AttemptOutcome::TargetError:
    Request.MayHaveExecuted = true;
    Request.ErrorResponse = Attempt;
    this->retryOrFinish(Number, Now);
    break;
  case AttemptOutcome::Interrupted:
    Request.MayHaveExecuted = true;
    this->retryOrFinish(Number, Now);
    break;
  case AttemptOutcome::NotExecuted:
  case AttemptOutcome::NotSent:
    this->retryOrFinish(Number, Now);
    break;
  }
  if (Result.Load) {
    this->dispatchToFreedSlot(Service, Name, Now);
  }
}

void Dispatcher::onForwardFailed(const DispatchRequest &Request, DispatchAttempt &Ended,
                                 AttemptOutcome Outcome, TimePoint Now) {
  this->EntriesOfOtherRegions.onRefused(Ended.Address, Request.Attributes.Service, Now);
  if (Outcome == AttemptOutcome::NotExecuted || Outcome == AttemptOutcome::NotSent) {
    Ended.MaxTargets = 0;
  }
}

void Dispatcher::retryOrFinish(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  if (Request.hasRunningAttempt() || Request.Search) {
    return;
  }
  if (this->canRetry(Request, Now)) {
    this->startSearch(Number, false, Now);
    return;
  }
  this->deliverErrorOrRefuse(Number, "no further attempt is allowed", Now);
}

void Dispatcher::deliverErrorOrRefuse(RequestNumber Number, const std::string &Reason,
                                      TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  if (Request.ErrorResponse) {
    this->deliver(Number, *Request.ErrorResponse, Now);
    return;
  }
  if (Request.MayHaveExecuted || Request.hasRunningAttempt()) {
    const bool IsDeadlineOver = Now >= Request.Attributes.Deadline;
    this->refuse(Number, IsDeadlineOver ? RefusalKind::TimedOut : RefusalKind::TargetFailed, Reason,
                 Duration(0), Now);
    return;
  }
  this->refuse(Number, RefusalKind::NotExecuted, Reason, this->retryAfter(Request, Now), Now);
}

bool Dispatcher::onResponseCommitted(RequestNumber Number, AttemptNumber Attempt,
                                     const TargetConditions &Conditions, TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return false;
  }
  DispatchRequest &Request = Found->second;
  this->targets().onConditions(Request.Attempts.at(Attempt).Target, Conditions, Now);
  this->cancelAttempts(Number, Attempt, Now);
  this->stopWaiting(Number);
  Request.HedgeAt.reset();
  Request.IsCommitted = true;
  this->updateTimer(Number, Request);
  return true;
}

void Dispatcher::onCommittedResponseEnd(RequestNumber Number, TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return;
  }
  for (DispatchAttempt &Each : Found->second.Attempts) {
    if (std::exchange(Each.IsRunning, false)) {
      this->targets().onAttemptEnd(Each.Target, false, Now);
    }
  }
  this->removeRequest(Number, Now);
}

void Dispatcher::deliver(RequestNumber Number, AttemptNumber Attempt, TimePoint Now) {
  this->removeRequest(Number, Now);
  this->Effects.emplace_back(DeliverResponse{Number, Attempt});
}

void Dispatcher::refuse(RequestNumber Number, RefusalKind Kind, std::string Reason,
                        Duration RetryAfter, TimePoint Now) {
  this->removeRequest(Number, Now);
  this->Effects.emplace_back(RefuseRequest{Number, Kind, std::move(Reason), RetryAfter});
}

void Dispatcher::cancelAttempts(RequestNumber Number, std::optional<AttemptNumber> KeptAttempt,
                                TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  for (std::size_t Index = 0; Index < Request.Attempts.size(); ++Index) {
    DispatchAttempt &Each = Request.Attempts[Index];
    const auto Attempt = static_cast<AttemptNumber>(Index);
    if (Each.IsRunning && Attempt != KeptAttempt) {
      Each.IsRunning = false;
      this->targets().onAttemptEnd(Each.Target, false, Now);
      this->Effects.emplace_back(CancelAttempt{Number, Attempt});
    }
  }
}

void Dispatcher::stopWaiting(RequestNumber Number) {
  DispatchRequest &Request = this->Requests.at(Number);
  this->endSearch(Request);
  this->Queues[Request.Attributes.Service].Requests.remove(Number);
}

void Dispatcher::removeRequest(RequestNumber Number, TimePoint Now) {
  this->cancelAttempts(Number, std::nullopt, Now);
  this->stopWaiting(Number);
  this->Timers.remove(Number);
  this->Requests.erase(Number);
}

// Probes and timers

void Dispatcher::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  this->Finder.onProbe(Name, Report, Now);
  this->resumeSearches(Name, Now);
}

void Dispatcher::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  this->Finder.onProbeFailed(Name, Reason, Now);
  this->resumeSearches(Name, Now);
}

void Dispatcher::resumeSearches(const TargetName &Name, TimePoint Now) {
  std::vector<RequestNumber> Affected;
  for (const auto &[Number, Each] : this->Requests) {
    if (Each.Search && std::find(Each.Search->Candidates.begin(), Each.Search->Candidates.end(),
                                 Name) != Each.Search->Candidates.end()) {
      Affected.push_back(Number);
    }
  }
  for (const RequestNumber Number : Affected) {
    const auto Found = this->Requests.find(Number);
    if (Found != this->Requests.end() && Found->second.Search) {
      this->advanceSearch(Number, Now);
    }
  }
}

void Dispatcher::updateTimer(RequestNumber Number, const DispatchRequest &Request) {
  this->Timers.set(Number, Request.nextTimer());
}

void Dispatcher::onDeadline(RequestNumber Number, const std::string &Reason, TimePoint Now) {
  if (!this->Requests.at(Number).IsCommitted) {
    this->deliverErrorOrRefuse(Number, Reason, Now);
    return;
  }
  this->removeRequest(Number, Now);
  this->Effects.emplace_back(AbortResponse{Number, Reason});
}

void Dispatcher::onRequestTimer(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->Requests.at(Number);
  if (Now >= Request.Attributes.Deadline) {
    const bool IsShutdown = this->isLimitedByShutdown(Request.Attributes);
    this->onDeadline(Number, IsShutdown ? ShutdownReason : "the time of the request is over", Now);
    return;
  }
  if (Request.HedgeAt && *Request.HedgeAt <= Now) {
    this->onHedgeDue(Number, Now);
  }
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return;
  }
  if (Found->second.Search && Found->second.Search->StageDeadline <= Now) {
    this->advanceSearch(Number, Now);
  }
  if (const auto Remaining = this->Requests.find(Number); Remaining != this->Requests.end()) {
    this->updateTimer(Number, Remaining->second);
  }
}

void Dispatcher::onTick(TimePoint Now) {
  this->targets().onTick(Now);
  for (const RequestNumber Number : this->Timers.due(Now)) {
    if (this->Requests.contains(Number)) {
      this->onRequestTimer(Number, Now);
    }
  }
  std::vector<ServiceName> DueServices;
  for (const auto &[Name, Queue] : this->Queues) {
    if (Queue.isSearchDue(Now)) {
      DueServices.push_back(Name);
    }
  }
  for (const ServiceName &Name : DueServices) {
    this->startSearchForQueued(Name, Now);
  }
}

std::optional<TimePoint> Dispatcher::nextTick() const {
  std::optional<TimePoint> Result = this->Timers.next();
  for (const auto &[Name, Queue] : this->Queues) {
    if (!Queue.Requests.empty() && Queue.maySearch()) {
      Result = Result ? std::min(*Result, Queue.nextSearch()) : Queue.nextSearch();
    }
  }
  return Result;
}

} // namespace anvilsaddle
