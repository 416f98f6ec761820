#pragma once

#include "state/Time.h"

#include <optional>

namespace anvilsaddle {

/// Estimates how often a service's queue at this entry gets a slot, also while the queue is short
/// or has just formed again: at many entries a queue rarely holds more than one request, and the
/// dispatches within one second are too few. Not thread-safe; times must not decrease.
class ShortageEstimator {
public:
  /// A request that was queued at `QueuedAt` has left the queue, either to a target or refused.
  void onLeft(TimePoint QueuedAt, bool IsDispatched, TimePoint Now);
  /// Mean time between two dispatches while requests wait; nothing with too few recent dispatches.
  std::optional<Duration> dispatchInterval(TimePoint Now) const;

private:
  double decay(TimePoint Now) const;

  /// Decayed time for which requests waited, and number of dispatches in it.
  double WaitedSeconds = 0;
  double Dispatches = 0;
  TimePoint LastLeft{};
};

} // namespace anvilsaddle
