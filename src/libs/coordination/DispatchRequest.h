#pragma once

#include "coordination/DispatchTypes.h"
#include "coordination/TargetFinder.h"
#include "state/Endpoint.h"
#include "state/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace anvilsaddle {

/// What a request found at its target.
enum class Occupancy {
  Room,
  LastSlot,
  Queued,
  /// An entry of another region has it.
  Elsewhere,
};

/// One send of a request.
struct DispatchAttempt {
  TargetName Target;
  Endpoint Address;
  TimePoint Sent{};
  double Slowdown = 1;
  Occupancy Place = Occupancy::Room;
  /// Targets that may run the request by this attempt.
  std::uint32_t Targets = 1;
  bool Running = true;
};

/// A request that has no final answer yet. Not thread-safe.
struct DispatchRequest {
  RequestAttributes Terms;
  std::vector<DispatchAttempt> Attempts;
  std::optional<TargetSearch> Looking;
  /// The search is for a request that was taken from the queue.
  bool Queued = false;
  /// An entry of another region got the request; there is no second one.
  bool Forwarded = false;
  /// A target got the request and did not deny that it ran.
  bool MayHaveRun = false;
  /// Attempt that ended with a complete answer of status 500 or above.
  std::optional<AttemptNumber> ErrorAnswer;
  std::optional<TimePoint> HedgeAt;
  /// Time of the next event of the request.
  TimePoint Timer{};

  bool hasRunning() const;
  /// Targets that had the request, or may get it by another entry.
  std::uint32_t usedTargets() const;
  /// Names of the targets that had the request.
  std::vector<TargetName> usedNames() const;
  /// Another attempt keeps what may run once from running twice, and the route's number of targets.
  bool mayRepeat() const;
  /// Time at which a second attempt is worth it, if the first was sent now; nothing if none is
  /// allowed. `Work` is the usual time at a target, and `Expected` what was expected of this one.
  std::optional<TimePoint> hedgeTime(Duration Work, Duration Expected, TimePoint Now) const;
};

} // namespace anvilsaddle
