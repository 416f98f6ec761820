#include "coordination/publications/PauseDetector.h"

#include <chrono>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// A process without a tick for this time was paused.
constexpr Duration MaxTickInterval = 500ms;
/// Time until a process that continues has read what was waiting for it.
constexpr Duration DrainTime = 300ms;

} // namespace

void PauseDetector::onTick(TimePoint Now) {
  if (Now - this->LastTick > MaxTickInterval) {
    this->PausedSince = this->LastTick;
    this->DrainedAt = Now + DrainTime;
  }
  this->LastTick = Now;
}

TimePoint PauseDetector::earliestArrival(TimePoint Now) const {
  if (Now - this->LastTick > MaxTickInterval) {
    return this->LastTick;
  }
  return Now < this->DrainedAt ? this->PausedSince : Now;
}

} // namespace anvilsaddle
