#pragma once

#include "state/Time.h"

namespace anvilsaddle {

/// Tells since when a message that is read now may have been waiting. After this process was
/// paused, its sockets still hold messages from before the pause, and nothing on them tells their
/// age.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class PauseDetector {
public:
  explicit PauseDetector(TimePoint Now) : LastTick(Now) {}

  /// Must be called several times per second while the process runs.
  void onTick(TimePoint Now);
  /// Earliest time at which a message that is read now may have arrived.
  TimePoint earliestArrival(TimePoint Now) const;

private:
  TimePoint LastTick;
  TimePoint PausedSince{};
  /// While this time has not come, messages from before the pause may still be waiting.
  TimePoint DrainedAt{};
};

} // namespace anvilsaddle
