#include "coordination/dispatch/RequestTimers.h"

namespace anvilsaddle {

void RequestTimers::set(RequestNumber Number, TimePoint Time) {
  this->remove(Number);
  this->Times[Number] = Time;
  this->Order.insert({Time, Number});
}

void RequestTimers::remove(RequestNumber Number) {
  const auto Found = this->Times.find(Number);
  if (Found == this->Times.end()) {
    return;
  }
  this->Order.erase({Found->second, Number});
  this->Times.erase(Found);
}

std::vector<RequestNumber> RequestTimers::due(TimePoint Now) const {
  std::vector<RequestNumber> Result;
  for (const auto &[Time, Number] : this->Order) {
    if (Time > Now) {
      break;
    }
    Result.push_back(Number);
  }
  return Result;
}

std::optional<TimePoint> RequestTimers::next() const {
  return this->Order.empty() ? std::nullopt : std::optional(this->Order.begin()->first);
}

} // namespace anvilsaddle
