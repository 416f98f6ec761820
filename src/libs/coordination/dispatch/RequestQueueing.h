#pragma once

#include "coordination/dispatch/DispatchState.h"

#include <optional>

namespace anvilsaddle {

class RequestCompletion;

/// Puts requests for which no target has room into the queue of their service and takes them out
/// again. Refuses those that can't be served in time.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class RequestQueueing {
public:
  /// Precondition: state and completion outlive the object.
  RequestQueueing(DispatchState &State, RequestCompletion &Completion)
      : State(State), Completion(Completion) {}

  /// Queues or refuses the request. `IsFromQueue` tells that the request was taken from the queue
  /// for the search that has ended. Precondition: the request is open and has no search.
  void enqueue(RequestNumber Number, bool IsFromQueue, TimePoint Now);
  /// Refuses requests at the back of the queue whose deadline expires before they can be sent, or
  /// all of whose targets have asked to wait.
  void refuseUnservableRequests(DispatchQueue &Queue, TimePoint Now);
  /// Removes the first request from the queue for a search. Returns nothing if no search may start
  /// now.
  std::optional<RequestNumber> dequeueForSearch(ServiceQueue &Queue, TimePoint Now);

private:
  void refuseForPause(RequestNumber Number, TimePoint Now);
  /// True if a new request has no prospect of a slot in time, so that waiting only costs its caller
  /// the time to try again.
  bool isWaitHopeless(const DispatchRequest &Request, const ServiceQueue &Queue, TimePoint Now);

  DispatchState &State;
  RequestCompletion &Completion;
};

} // namespace anvilsaddle
