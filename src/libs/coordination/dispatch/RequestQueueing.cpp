#include "coordination/dispatch/RequestQueueing.h"

#include "coordination/RandomSource.h"
#include "coordination/dispatch/RequestCompletion.h"

namespace anvilsaddle {

namespace {

/// Longest expected wait in the queue, a fraction of the wait with which the objective is met.
constexpr double MaxWaitFraction = 0.33;
/// With fewer requests ahead, the expected wait follows from too few dispatches to refuse at once.
constexpr std::size_t MinAheadForRefusal = 4;

} // namespace

void RequestQueueing::enqueue(RequestNumber Number, bool IsFromQueue, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  if (!Request.Attributes.MayQueue) {
    this->Completion.deliverErrorOrRefuse(Number, "no target has room for another region", Now);
    return;
  }
  if (this->State.pauseEnd(Request, Now)) {
    this->refuseForPause(Number, Now);
    return;
  }
  const ProcessingTimeEstimator::Estimate Estimate =
      this->State.Estimates.estimate(Request.Attributes, Now);
  if (Request.Refused) {
    ++this->State.Counters.RunsRefused;
    this->Completion.deliverErrorOrRefuse(Number, "no target would complete it in time", Now);
    return;
  }
  ServiceQueue &Queue = this->State.Queues[Request.Attributes.Service];
  const Duration Wait = this->State.expectedWait(Request.Attributes, Now);
  if (Now + Wait + this->State.minProcessingTime(Request.Attributes, Now) >=
          Request.Attributes.Deadline ||
      (!IsFromQueue && this->isWaitHopeless(Request, Queue, Now))) {
    ++this->State.Counters.WaitsRefused;
    this->Completion.deliverErrorOrRefuse(Number, "no target has room in time", Now);
    return;
  }
  if (Queue.Requests.empty()) {
    Queue.onNonEmpty(IsFromQueue);
    Queue.scheduleSearch(this->State.Random.uniform(), Now);
  }
  Request.QueuedAt = Request.QueuedAt.value_or(Now);
  Queue.Requests.push(Number, Request.Attributes, Estimate.ProcessingTime, IsFromQueue, Now);
  this->State.updateTimer(Number, Request);
}

void RequestQueueing::refuseForPause(RequestNumber Number, TimePoint Now) {
  ++this->State.Counters.PausesRefused;
  this->Completion.deliverErrorOrRefuse(Number, "all targets have asked to wait", Now);
}

bool RequestQueueing::isWaitHopeless(const DispatchRequest &Request, const ServiceQueue &Queue,
                                     TimePoint Now) {
  const auto Interval = Queue.Shortage.dispatchInterval(Now);
  const RequestAttributes &Attributes = Request.Attributes;
  if (Attributes.Idempotent || !Interval) {
    return false;
  }
  const Duration ProcessingTime = this->State.Estimates.estimate(Attributes, Now).ProcessingTime;
  const auto Earlier = Queue.Requests.countEarlier(Attributes, ProcessingTime, Now);
  if (Earlier < MinAheadForRefusal) {
    return false;
  }
  const Duration Wait = *Interval * static_cast<std::int64_t>(Earlier + 1);
  const Duration ObjectiveWait =
      Attributes.ReceivedAt + Attributes.Objective - ProcessingTime - Now;
  // Once the first request has waited for half of the time to its objective, the newest goes first,
  // and the others wait until it is too late. The margin keeps the queue below that.
  return ObjectiveWait > Duration(0)
             ? Wait > scaled(ObjectiveWait, MaxWaitFraction)
             : Now + Wait + this->State.minProcessingTime(Attributes, Now) >= Attributes.Deadline;
}

void RequestQueueing::refuseUnservableRequests(DispatchQueue &Queue, TimePoint Now) {
  while (const auto Last = Queue.back()) {
    const DispatchRequest &Request = this->State.Requests.at(*Last);
    if (this->State.pauseEnd(Request, Now)) {
      this->refuseForPause(*Last, Now);
      continue;
    }
    const auto Wait = Queue.expectedWaitOfBack(Now);
    const Duration MinProcessingTime = this->State.minProcessingTime(Request.Attributes, Now);
    if (!Wait || Now + *Wait + MinProcessingTime < Request.Attributes.Deadline) {
      return;
    }
    this->Completion.deliverErrorOrRefuse(*Last, "no target will have room in time", Now);
  }
}

std::optional<RequestNumber> RequestQueueing::dequeueForSearch(ServiceQueue &Queue, TimePoint Now) {
  this->refuseUnservableRequests(Queue.Requests, Now);
  if (!Queue.maySearch()) {
    return std::nullopt;
  }
  const auto First = Queue.Requests.front(Now);
  if (!First) {
    return std::nullopt;
  }
  Queue.Requests.remove(*First);
  DispatchRequest &Request = this->State.Requests.at(*First);
  const Duration MinProcessingTime = this->State.minProcessingTime(Request.Attributes, Now);
  if (Now + MinProcessingTime >= Request.Attributes.Deadline) {
    this->Completion.deliverErrorOrRefuse(*First, "no target had room in time", Now);
    return std::nullopt;
  }
  Request.IsFromQueue = true;
  Queue.onSearchStarted();
  return First;
}

} // namespace anvilsaddle
