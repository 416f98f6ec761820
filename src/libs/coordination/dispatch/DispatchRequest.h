#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/RunAdmission.h"
#include "coordination/dispatch/TargetFinder.h"
#include "state/Endpoint.h"
#include "state/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace anvilsaddle {

/// One send of a request to a target or entry.
struct DispatchAttempt {
  TargetName Target;
  Endpoint Address;
  TimePoint SentAt{};
  double Slowdown = 1;
  /// Time that was expected of this attempt when it was sent.
  Duration ExpectedTime{0};
  /// Occupancy of the target with this request; nothing if the request waits there for a slot, or
  /// if it is forwarded so that the target is not known.
  std::optional<SlotOccupancy> Occupancy;
  /// The attempt forwards the request to an entry of another region.
  bool IsForwarded = false;
  /// Number of targets that may execute the request because of this attempt.
  std::uint32_t MaxTargets = 1;
  bool IsRunning = true;
};

/// A request without a complete response. Not thread-safe.
struct DispatchRequest {
  RequestAttributes Attributes;
  std::vector<DispatchAttempt> Attempts;
  std::optional<TargetSearch> Search;
  /// The request was taken from the queue for its current search.
  bool IsFromQueue = false;
  /// The request was forwarded to an entry of another region. A request is forwarded at most once.
  bool WasSentToOtherEntry = false;
  /// A target received the request and did not report that it was not executed.
  bool MayHaveExecuted = false;
  /// Attempt that ended with a complete response of status 500 or above.
  std::optional<AttemptNumber> ErrorResponse;
  std::optional<TimePoint> HedgeAt;
  /// The attempt that is a hedge; only set if operators set a limit on hedges.
  std::optional<AttemptNumber> HedgeAttempt;
  /// A hedge was due and was not sent.
  bool WasHedgeWithheld = false;
  /// Time at which the request was queued first; nothing if it was not queued since its last
  /// attempt.
  std::optional<TimePoint> QueuedAt;
  /// Number of times that the request was not sent to the best target, because a better one may
  /// come free in time.
  std::uint32_t DeferralCount = 0;
  /// The last search showed that no target is expected to complete the request in time.
  std::optional<RunAdmission> Refused;
  /// The response of the only running attempt is being sent to the caller.
  bool IsCommitted = false;

  bool hasRunningAttempt() const;
  /// Time of the deadline, the hedge or the end of the search stage, whichever comes first.
  TimePoint nextTimer() const;
  /// Number of targets that received the request, or may receive it from another entry.
  std::uint32_t usedTargetCount() const;
  /// Names of the targets that received the request.
  std::vector<TargetName> usedTargetNames() const;
  /// True if another attempt neither executes a non-idempotent request twice nor exceeds the
  /// route's maximum number of targets.
  bool mayRetry() const;
  /// Time at which a hedge is worthwhile if the first attempt is sent now; nothing if no hedge is
  /// allowed. `ProcessingTime` is the usual time at a target, and `ExpectedTime` the time that is
  /// expected of this attempt.
  std::optional<TimePoint> hedgeTime(Duration ProcessingTime, Duration ExpectedTime,
                                     TimePoint Now) const;
};

} // namespace anvilsaddle
