#pragma once

#include "state/Time.h"

#include <functional>
#include <map>

namespace anvilsaddle {

/// Event queue of a discrete-event simulation with a virtual clock. Events with the same time run
/// in the order in which they were added. Not thread-safe.
class EventScheduler {
public:
  TimePoint now() const { return this->Now; }
  /// Schedules an action. A time in the past means now.
  void at(TimePoint Time, std::function<void()> Action);
  void after(Duration Delay, std::function<void()> Action) {
    this->at(this->Now + Delay, std::move(Action));
  }
  /// Runs all events up to and including `End`, then sets the clock to `End`.
  void run(TimePoint End);

private:
  TimePoint Now{};
  std::multimap<TimePoint, std::function<void()>> Events;
};

} // namespace anvilsaddle
