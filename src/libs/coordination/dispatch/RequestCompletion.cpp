#include "coordination/dispatch/RequestCompletion.h"

#include "coordination/RandomSource.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// An entry that shuts down takes a request only if so many times the usual processing time is
/// left. The margin is larger for requests that can't be repeated after they were broken off.
constexpr double IdempotentShutdownMargin = 2;
constexpr double NonIdempotentShutdownMargin = 4;
constexpr const char *ShutdownReason = "the entry ends";
constexpr Duration MinRetryAfter = 50ms;
constexpr Duration MaxRetryAfter = 2s;
/// Callers that are refused because of a pause return within this fraction of it after its end,
/// not all at once.
constexpr double PauseSpread = 0.25;

/// Kind of refusal of a request that a target may have executed.
RefusalKind kindAfterExecution(const DispatchRequest &Request, TimePoint Now) {
  return Now >= Request.Attributes.Deadline ? RefusalKind::TimedOut : RefusalKind::TargetFailed;
}

} // namespace

bool RequestCompletion::isLimitedByShutdown(const RequestAttributes &Attributes) const {
  return this->State.ShutdownTime && Attributes.Deadline >= *this->State.ShutdownTime;
}

bool RequestCompletion::canEndBeforeShutdown(const DispatchRequest &Request, TimePoint Now) const {
  if (!this->isLimitedByShutdown(Request.Attributes)) {
    return true;
  }
  const double Margin =
      Request.Attributes.Idempotent ? IdempotentShutdownMargin : NonIdempotentShutdownMargin;
  return Now + scaled(this->State.Estimates.estimate(Request.Attributes, Now).ProcessingTime,
                      Margin) <
         *this->State.ShutdownTime;
}

void RequestCompletion::endSearch(DispatchRequest &Request) {
  Request.Search.reset();
  if (std::exchange(Request.IsFromQueue, false)) {
    ServiceQueue &Queue = this->State.Queues[Request.Attributes.Service];
    Queue.onSearchEnded();
  }
}

Duration RequestCompletion::retryAfter(const DispatchRequest &Request, TimePoint Now) {
  if (this->isLimitedByShutdown(Request.Attributes)) {
    // Another entry can take the request at once.
    return MinRetryAfter;
  }
  if (const auto PauseEnd = this->State.pauseEnd(Request, Now)) {
    const double Spread = 1 + PauseSpread * this->State.Random.uniform();
    return std::max(MinRetryAfter, scaled(*PauseEnd - Now, Spread));
  }
  const Duration ProcessingTime =
      this->State.Estimates.estimate(Request.Attributes, Now).ProcessingTime;
  ServiceQueue &Queue = this->State.Queues[Request.Attributes.Service];
  if (const auto Interval = Queue.Shortage.dispatchInterval(Now)) {
    ++this->State.Counters.RetriesSpread;
    return std::clamp(
        Queue.reserveRetry(*Interval, MaxRetryAfter, this->State.Random.uniform(), Now),
        MinRetryAfter, MaxRetryAfter);
  }
  const Duration Wait =
      Queue.Requests.expectedWait(Request.Attributes, ProcessingTime, Now).value_or(ProcessingTime);
  // Callers that are refused at the same time spread their retries over the expected wait.
  const Duration JitteredWait = scaled(Wait, 0.5 + this->State.Random.uniform());
  return std::clamp(JitteredWait, MinRetryAfter, MaxRetryAfter);
}

void RequestCompletion::deliverErrorOrRefuse(RequestNumber Number, const std::string &Reason,
                                             TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  if (Request.ErrorResponse) {
    this->deliver(Number, *Request.ErrorResponse, Now);
    return;
  }
  if (Request.MayHaveExecuted || Request.hasRunningAttempt()) {
    this->refuse(Number, kindAfterExecution(Request, Now), Reason, Duration(0), Now);
    return;
  }
  this->refuse(Number, RefusalKind::NotExecuted, Reason, this->retryAfter(Request, Now), Now);
}

void RequestCompletion::deliver(RequestNumber Number, AttemptNumber Attempt, TimePoint Now) {
  this->removeRequest(Number, Now);
  this->State.Effects.emplace_back(DeliverResponse{Number, Attempt});
}

void RequestCompletion::refuse(RequestNumber Number, RefusalKind Kind, std::string Reason,
                               Duration RetryAfter, TimePoint Now) {
  const DispatchRequest &Request = this->State.Requests.at(Number);
  RefusalDetails Details;
  Details.TimeLeft = Request.Attributes.Deadline - Now;
  Details.ExpectedWait = this->State.expectedWait(Request.Attributes, Now);
  Details.ExpectedTime =
      Request.Refused ? Request.Refused->ExpectedTime
                      : this->State.Estimates.estimate(Request.Attributes, Now).ProcessingTime;
  Details.DeferralCount = Request.DeferralCount;
  Details.CallerElapsed = Request.Attributes.CallerElapsed;
  if (Request.QueuedAt) {
    this->State.Queues[Request.Attributes.Service].Shortage.onLeft(*Request.QueuedAt, false, Now);
  }
  this->removeRequest(Number, Now);
  this->State.Effects.emplace_back(
      RefuseRequest{Number, Kind, std::move(Reason), RetryAfter, Details});
}

void RequestCompletion::cancelAttempts(RequestNumber Number,
                                       std::optional<AttemptNumber> KeptAttempt, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  for (std::size_t Index = 0; Index < Request.Attempts.size(); ++Index) {
    DispatchAttempt &Each = Request.Attempts[Index];
    const auto Attempt = static_cast<AttemptNumber>(Index);
    if (Each.IsRunning && Attempt != KeptAttempt) {
      Each.IsRunning = false;
      this->State.targets().onAttemptEnd(Each.Target, false, Now);
      this->State.Effects.emplace_back(CancelAttempt{Number, Attempt});
    }
  }
}

void RequestCompletion::stopWaiting(RequestNumber Number) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  this->endSearch(Request);
  this->State.Queues[Request.Attributes.Service].Requests.remove(Number);
}

void RequestCompletion::removeRequest(RequestNumber Number, TimePoint Now) {
  this->cancelAttempts(Number, std::nullopt, Now);
  this->stopWaiting(Number);
  this->State.Timers.remove(Number);
  this->State.Requests.erase(Number);
}

void RequestCompletion::refuseAtShutdown(RequestNumber Number, TimePoint Now) {
  this->refuse(Number, RefusalKind::NotExecuted, ShutdownReason, MinRetryAfter, Now);
}

void RequestCompletion::onDeadline(RequestNumber Number, TimePoint Now) {
  const DispatchRequest &Request = this->State.Requests.at(Number);
  for (const DispatchAttempt &Each : Request.Attempts) {
    if (Each.IsRunning) {
      this->State.Estimates.onCutOff(Request.Attributes, Each, Now);
    }
  }
  const bool IsShutdown = this->isLimitedByShutdown(Request.Attributes);
  const std::string Reason = IsShutdown ? ShutdownReason : "the time of the request is over";
  if (!Request.IsCommitted) {
    this->deliverErrorOrRefuse(Number, Reason, Now);
    return;
  }
  const RefusalKind Kind = kindAfterExecution(Request, Now);
  this->removeRequest(Number, Now);
  this->State.Effects.emplace_back(AbortResponse{Number, Kind, Reason});
}

} // namespace anvilsaddle
