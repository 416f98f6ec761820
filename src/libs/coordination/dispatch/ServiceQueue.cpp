#include "coordination/dispatch/ServiceQueue.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Mean interval between searches while all targets are full, a fraction of the time after which a
/// slot becomes free. It doubles after a search that finds no free slot.
constexpr Duration MinSearchInterval = 15ms;
constexpr Duration MaxSearchInterval = 30ms;

} // namespace

void ServiceQueue::onSearchFailed() {
  this->SearchInterval = std::min(MaxSearchInterval, this->SearchInterval * 2);
}

void ServiceQueue::onDispatched(const RequestAttributes &Attributes, Duration ProcessingTime,
                                TimePoint Now) {
  this->Requests.onDispatched(Attributes, ProcessingTime, Now);
  this->SearchInterval = MinSearchInterval;
}

void ServiceQueue::onNonEmpty(bool IsFromQueue) {
  if (!IsFromQueue) {
    this->SearchInterval = MinSearchInterval;
  }
}

Duration ServiceQueue::reserveRetry(Duration Interval, Duration Longest, double RandomValue,
                                    TimePoint Now) {
  this->NextRetry = std::max(this->NextRetry, Now);
  if (this->NextRetry + Interval > Now + Longest) {
    // There is no room for so many; half of the time is left to those that were refused before.
    return scaled(Longest, (1 + RandomValue) / 2);
  }
  const Duration Result = this->NextRetry - Now + scaled(Interval, RandomValue);
  this->NextRetry += Interval;
  return Result;
}

void ServiceQueue::scheduleSearch(double RandomValue, TimePoint Now) {
  this->NextSearch = Now + scaled(this->SearchInterval, 0.5 + RandomValue);
}

} // namespace anvilsaddle
