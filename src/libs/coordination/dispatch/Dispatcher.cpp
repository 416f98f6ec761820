#include "coordination/dispatch/Dispatcher.h"

#include "coordination/RandomSource.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Fraction of the returning callers that take the place of their first attempt. If all did, they
/// would take the whole capacity in an overload, and every caller would be refused once.
constexpr double ReturnPrecedenceFraction = 0.5;

} // namespace

Dispatcher::Dispatcher(Topology FleetTopology, const DispatchLimits &Limits, std::string Self,
                       RandomSource &Random)
    : State(std::move(FleetTopology), Limits, std::move(Self), Random), Completion(this->State),
      Queueing(this->State, this->Completion),
      Searches(this->State, this->Completion, this->Queueing) {
  this->State.Retries.setShare({1, RetryShareReason::FleetUnknown});
}

void Dispatcher::setEntries(std::vector<std::string> RegionEntries, std::size_t FleetEntryCount) {
  this->State.Finder.setEntries(std::move(RegionEntries));
  const std::size_t EntryCount = std::max<std::size_t>(1, FleetEntryCount);
  this->State.Hedges.setEntryCount(EntryCount);
  this->State.Estimates.saturation().setEntryCount(EntryCount);
}

std::size_t Dispatcher::queueLength() const {
  std::size_t Result = 0;
  for (const auto &[Name, Queue] : this->State.Queues) {
    Result += Queue.Requests.size();
  }
  return Result;
}

void Dispatcher::beginShutdown(TimePoint FinalResponseTime, TimePoint Now) {
  this->State.ShutdownTime =
      std::min(this->State.ShutdownTime.value_or(FinalResponseTime), FinalResponseTime);
  for (auto &[Number, Request] : this->State.Requests) {
    Request.Attributes.Deadline = std::min(Request.Attributes.Deadline, *this->State.ShutdownTime);
    this->State.updateTimer(Number, Request);
  }
  for (auto &[Name, Queue] : this->State.Queues) {
    this->Queueing.refuseUnservableRequests(Queue.Requests, Now);
  }
}

void Dispatcher::recognizeReturn(RequestAttributes &Attributes, TimePoint Now) {
  if (!Attributes.CallerTimeLeft) {
    return;
  }
  const Duration Elapsed =
      this->State.StatedTimes.elapsed(Attributes.Route, *Attributes.CallerTimeLeft, Now);
  if (Elapsed > Duration(0) && this->State.Random.uniform() < ReturnPrecedenceFraction) {
    Attributes.CallerElapsed = Elapsed;
    ++this->State.Counters.CallersReturned;
  }
}

void Dispatcher::onRequest(RequestNumber Number, RequestAttributes Attributes, TimePoint Now) {
  this->State.Hedges.onRequest(Attributes);
  DispatchRequest &Request = this->State.Requests[Number];
  Request.Attributes = std::move(Attributes);
  this->recognizeReturn(Request.Attributes, Now);
  if (!this->Completion.canEndBeforeShutdown(Request, Now)) {
    this->Completion.refuseAtShutdown(Number, Now);
    return;
  }
  if (this->State.ShutdownTime) {
    Request.Attributes.Deadline = std::min(Request.Attributes.Deadline, *this->State.ShutdownTime);
  }
  this->State.updateTimer(Number, Request);
  ServiceQueue &Queue = this->State.Queues[Request.Attributes.Service];
  // A request that searches at once would take the turn of another customer's or of a more urgent
  // one.
  if (!Queue.Requests.empty() && (!Queue.Requests.allMissObjective(Now) ||
                                  Queue.Requests.hasOtherCustomers(Request.Attributes) ||
                                  Queue.Requests.hasMoreUrgent(Request.Attributes.Priority))) {
    this->Queueing.enqueue(Number, false, Now);
    return;
  }
  this->Searches.startSearch(Number, false, Now);
}

void Dispatcher::onCallerDisconnected(RequestNumber Number, TimePoint Now) {
  if (this->State.Requests.contains(Number)) {
    this->Completion.removeRequest(Number, Now);
  }
}

void Dispatcher::onAttemptEnd(RequestNumber Number, AttemptNumber Attempt,
                              const AttemptResult &Result, TimePoint Now) {
  const auto Found = this->State.Requests.find(Number);
  if (Found == this->State.Requests.end() || Attempt >= Found->second.Attempts.size() ||
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
  this->State.targets().onAttemptEnd(Ended.Target, HasFailed, Now);
  this->recordAnswer(Ended, Result, Now);
  if (Result.Load) {
    this->State.targets().onLoad(Ended.Target, *Result.Load, Now);
  }
  this->State.targets().onConditions(Ended.Target, Result.Conditions, Now);
  if (Result.RetryAfter) {
    ++this->State.Counters.PausesRequested;
    this->State.targets().onRetryAfter(Ended.Target, *Result.RetryAfter, Now);
  }
  const ServiceName Service = Request.Attributes.Service;
  const TargetName Name = Ended.Target;
  switch (Result.Outcome) {
  case AttemptOutcome::Succeeded:
    this->State.Estimates.onResponse(Request.Attributes, Ended, Result, Now);
    this->onDelivered(Request, Attempt, Now);
    this->Completion.deliver(Number, Attempt, Now);
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
    this->Searches.dispatchToFreedSlot(Service, Name, Now);
  }
}

void Dispatcher::recordAnswer(const DispatchAttempt &Ended, const AttemptResult &Result,
                              TimePoint Now) {
  const TargetState *Target = this->State.targets().find(Ended.Target);
  if (!Target) {
    return;
  }
  if (Result.Outcome == AttemptOutcome::Succeeded ||
      Result.Outcome == AttemptOutcome::TargetError) {
    this->State.targets().onAnswered(Ended.Target, false, Now);
    return;
  }
  if (Result.Outcome != AttemptOutcome::NotExecuted) {
    return;
  }
  const std::optional<LoadReport> &Load = Result.Load ? Result.Load : Target->Load;
  if (Load && Load->Running + Load->Waiting >= Load->Slots) {
    ++this->State.Counters.RejectionsWhenFull;
    return;
  }
  ++this->State.Counters.RejectionsWithRoom;
  this->State.targets().onAnswered(Ended.Target, true, Now);
}

void Dispatcher::onForwardFailed(const DispatchRequest &Request, DispatchAttempt &Ended,
                                 AttemptOutcome Outcome, TimePoint Now) {
  this->State.EntriesOfOtherRegions.onRefused(Ended.Address, Request.Attributes.Service, Now);
  if (Outcome == AttemptOutcome::NotExecuted || Outcome == AttemptOutcome::NotSent) {
    Ended.MaxTargets = 0;
  }
}

void Dispatcher::onDelivered(const DispatchRequest &Request, AttemptNumber Attempt, TimePoint Now) {
  this->State.Hedges.onDelivered(Request, Attempt, Now);
  if (Request.HedgeAttempt != Attempt) {
    return;
  }
  for (const DispatchAttempt &Each : Request.Attempts) {
    if (Each.IsRunning && !Each.IsForwarded && Each.Target != Request.Attempts[Attempt].Target) {
      this->State.targets().onHedgeLost(Each.Target, Now);
    }
  }
}

void Dispatcher::retryOrFinish(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  if (Request.hasRunningAttempt() || Request.Search) {
    return;
  }
  if (this->Searches.canRetry(Request, Now)) {
    this->Searches.startSearch(Number, false, Now);
    return;
  }
  this->Completion.deliverErrorOrRefuse(Number, "no further attempt is allowed", Now);
}

bool Dispatcher::onResponseCommitted(RequestNumber Number, AttemptNumber Attempt,
                                     const TargetConditions &Conditions, TimePoint Now) {
  const auto Found = this->State.Requests.find(Number);
  if (Found == this->State.Requests.end()) {
    return false;
  }
  DispatchRequest &Request = Found->second;
  this->State.targets().onConditions(Request.Attempts.at(Attempt).Target, Conditions, Now);
  this->onDelivered(Request, Attempt, Now);
  this->Completion.cancelAttempts(Number, Attempt, Now);
  this->Completion.stopWaiting(Number);
  Request.HedgeAt.reset();
  Request.IsCommitted = true;
  this->State.updateTimer(Number, Request);
  return true;
}

void Dispatcher::onCommittedResponseEnd(RequestNumber Number, TimePoint Now) {
  const auto Found = this->State.Requests.find(Number);
  if (Found == this->State.Requests.end()) {
    return;
  }
  for (DispatchAttempt &Each : Found->second.Attempts) {
    if (std::exchange(Each.IsRunning, false)) {
      this->State.targets().onAttemptEnd(Each.Target, false, Now);
    }
  }
  this->Completion.removeRequest(Number, Now);
}

void Dispatcher::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  this->State.Finder.onProbe(Name, Report, Now);
  this->State.Counters.PausesRequested += Report.RetryAfter ? 1 : 0;
  const TargetState *Target = this->State.targets().find(Name);
  if (Target && Report.HasLoad) {
    this->State.Queues[Target->Registration.Service].Slowdowns.add(Report.Load.Slowdown, Now);
  }
  this->Searches.resumeSearches(Name, Now);
}

void Dispatcher::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  this->State.Finder.onProbeFailed(Name, Reason, Now);
  this->Searches.resumeSearches(Name, Now);
}

void Dispatcher::onRequestTimer(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  if (Now >= Request.Attributes.Deadline) {
    this->Completion.onDeadline(Number, Now);
    return;
  }
  if (Request.HedgeAt && *Request.HedgeAt <= Now) {
    this->Searches.onHedgeDue(Number, Now);
  }
  const auto Found = this->State.Requests.find(Number);
  if (Found == this->State.Requests.end()) {
    return;
  }
  if (Found->second.Search && Found->second.Search->StageDeadline <= Now) {
    this->Searches.advanceSearch(Number, Now);
  }
  if (const auto Remaining = this->State.Requests.find(Number);
      Remaining != this->State.Requests.end()) {
    this->State.updateTimer(Number, Remaining->second);
  }
}

void Dispatcher::onTick(TimePoint Now) {
  this->State.targets().onTick(Now);
  std::vector<RequestNumber> Due = this->State.Timers.due(Now);
  // A response that has begun may wait behind others that end now, and must not follow them.
  std::stable_partition(Due.begin(), Due.end(), [this](RequestNumber Number) {
    const auto Found = this->State.Requests.find(Number);
    return Found != this->State.Requests.end() && Found->second.IsCommitted;
  });
  for (const RequestNumber Number : Due) {
    if (this->State.Requests.contains(Number)) {
      this->onRequestTimer(Number, Now);
    }
  }
  std::vector<ServiceName> DueServices;
  for (const auto &[Name, Queue] : this->State.Queues) {
    if (Queue.isSearchDue(Now)) {
      DueServices.push_back(Name);
    }
  }
  for (const ServiceName &Name : DueServices) {
    this->Searches.startSearchForQueued(Name, Now);
  }
}

std::optional<TimePoint> Dispatcher::nextTick() const {
  std::optional<TimePoint> Result = this->State.Timers.next();
  for (const auto &[Name, Queue] : this->State.Queues) {
    if (!Queue.Requests.empty() && Queue.maySearch()) {
      Result = Result ? std::min(*Result, Queue.nextSearch()) : Queue.nextSearch();
    }
  }
  return Result;
}

} // namespace anvilsaddle
