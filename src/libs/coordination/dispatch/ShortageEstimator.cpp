#include "coordination/dispatch/ShortageEstimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace anvilsaddle {

namespace {

/// Short enough to follow a burst, long enough for some dispatches of a lightly loaded entry.
constexpr Duration HalfLife = std::chrono::seconds(2);
/// A single dispatch says little about the interval between two.
constexpr double MinDispatches = 1.5;

} // namespace

double ShortageEstimator::decay(TimePoint Now) const {
  return std::exp2(-std::chrono::duration<double>(Now - this->LastLeft) /
                   std::chrono::duration<double>(HalfLife));
}

void ShortageEstimator::onLeft(TimePoint QueuedAt, bool IsDispatched, TimePoint Now) {
  const double Weight = this->decay(Now);
  // Only the time since the last request left counts, because requests wait at the same time.
  const TimePoint Since = std::max(QueuedAt, this->LastLeft);
  this->WaitedSeconds =
      this->WaitedSeconds * Weight + std::chrono::duration<double>(Now - Since).count();
  this->Dispatches = this->Dispatches * Weight + (IsDispatched ? 1 : 0);
  this->LastLeft = Now;
}

std::optional<Duration> ShortageEstimator::dispatchInterval(TimePoint Now) const {
  if (this->Dispatches * this->decay(Now) < MinDispatches) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->WaitedSeconds / this->Dispatches));
}

} // namespace anvilsaddle
