#include "coordination/dispatch/RequestQueueing.h"

#include "coordination/RandomSource.h"
#include "coordination/dispatch/RequestCompletion.h"

namespace anvilsaddle {

void RequestQueueing::enqueue(RequestNumber Number, bool IsFromQueue, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  if (!Request.Attributes.MayQueue) {
    this->Completion.deliverErrorOrRefuse(Number, "no target has room for another region", Now);
    return;
  }
  const ProcessingTimeEstimator::Estimate Estimate =
      this->State.Estimates.estimate(Request.Attributes, Now);
  ServiceQueue &Queue = this->State.Queues[Request.Attributes.Service];
  const Duration Wait =
      Queue.Requests.expectedWait(Request.Attributes, Estimate.ProcessingTime, Now)
          .value_or(Duration(0));
  if (Now + Wait + this->State.minProcessingTime(Request.Attributes, Now) >=
      Request.Attributes.Deadline) {
    this->Completion.deliverErrorOrRefuse(Number, "no target has room in time", Now);
    return;
  }
  if (Queue.Requests.empty()) {
    Queue.onNonEmpty(IsFromQueue);
    Queue.scheduleSearch(this->State.Random.uniform(), Now);
  }
  Queue.Requests.push(Number, Request.Attributes, Estimate.ProcessingTime, IsFromQueue, Now);
  this->State.updateTimer(Number, Request);
}

void RequestQueueing::refuseUnservableRequests(DispatchQueue &Queue, TimePoint Now) {
  while (const auto Wait = Queue.expectedWaitOfBack(Now)) {
    const RequestNumber Last = *Queue.back();
    const DispatchRequest &Request = this->State.Requests.at(Last);
    const Duration MinProcessingTime = this->State.minProcessingTime(Request.Attributes, Now);
    if (Now + *Wait + MinProcessingTime < Request.Attributes.Deadline) {
      return;
    }
    this->Completion.deliverErrorOrRefuse(Last, "no target will have room in time", Now);
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
