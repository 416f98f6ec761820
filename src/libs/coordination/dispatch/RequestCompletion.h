#pragma once

#include "coordination/dispatch/DispatchState.h"

#include <optional>
#include <string>

namespace anvilsaddle {

/// Ends requests: delivers the response of a target or refuses the request, whichever is true of
/// it, and cancels what still runs for it. Knows which requests can't end before a shutdown.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class RequestCompletion {
public:
  /// Precondition: the state outlives the object.
  explicit RequestCompletion(DispatchState &State) : State(State) {}

  /// True if the shutdown ends the request before its own deadline.
  bool isLimitedByShutdown(const RequestAttributes &Attributes) const;
  /// True if a new request probably ends before the shutdown does, or has no other chance because
  /// its own deadline comes first.
  bool canEndBeforeShutdown(const DispatchRequest &Request, TimePoint Now) const;
  /// Ends the search of a request, if there is one. Precondition: the request is open.
  void endSearch(DispatchRequest &Request);
  /// Ends the search of a request and removes it from its queue. Precondition: the request is open.
  void stopWaiting(RequestNumber Number);
  /// Cancels the running attempts of a request, except for the given one. Precondition: the request
  /// is open.
  void cancelAttempts(RequestNumber Number, std::optional<AttemptNumber> KeptAttempt,
                      TimePoint Now);
  /// Delivers the error response of a target, if there is one, or else refuses the request.
  /// Precondition: the request is open.
  void deliverErrorOrRefuse(RequestNumber Number, const std::string &Reason, TimePoint Now);
  /// Delivers the response of an attempt. Precondition: the request is open.
  void deliver(RequestNumber Number, AttemptNumber Attempt, TimePoint Now);
  /// Refuses a request that can't end before the shutdown. Preconditions: the request is open and
  /// has not been sent.
  void refuseAtShutdown(RequestNumber Number, TimePoint Now);
  /// Ends the request, whether or not its response has begun. Preconditions: the request is open,
  /// and its deadline has come.
  void onDeadline(RequestNumber Number, TimePoint Now);
  /// Forgets the request and cancels what still runs for it. Precondition: the request is open.
  void removeRequest(RequestNumber Number, TimePoint Now);

private:
  Duration retryAfter(const DispatchRequest &Request, TimePoint Now);
  void refuse(RequestNumber Number, RefusalKind Kind, std::string Reason, Duration RetryAfter,
              TimePoint Now);

  DispatchState &State;
};

} // namespace anvilsaddle
