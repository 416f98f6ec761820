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

void ServiceQueue::scheduleSearch(double RandomValue, TimePoint Now) {
  this->NextSearch = Now + scaled(this->SearchInterval, 0.5 + RandomValue);
}

} // namespace anvilsaddle
