#include "model/EventScheduler.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

void EventScheduler::at(TimePoint Time, std::function<void()> Action) {
  this->Events.emplace(std::max(this->Now, Time), std::move(Action));
}

void EventScheduler::run(TimePoint End) {
  while (!this->Events.empty() && this->Events.begin()->first <= End) {
    this->Now = this->Events.begin()->first;
    const auto Action = std::move(this->Events.extract(this->Events.begin()).mapped());
    Action();
  }
  this->Now = End;
}

} // namespace anvilsaddle
