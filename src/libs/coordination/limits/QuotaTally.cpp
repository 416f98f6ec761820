#include "coordination/limits/QuotaTally.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

std::int64_t slotNumber(TimePoint Now) { return Now.time_since_epoch() / QuotaTally::SlotLength; }

} // namespace

void QuotaTally::add(double Count, TimePoint Now) {
  const std::int64_t Number = slotNumber(Now);
  if (this->Slots.empty() || this->Slots.back().Number < Number) {
    this->Slots.push_back({Number, 0});
  }
  this->Slots.back().Count += Count;
}

void QuotaTally::addEvenly(double Count, Duration Window, TimePoint Now) {
  const auto Total = static_cast<std::int64_t>(slotCount(Window));
  const std::int64_t Last = slotNumber(Now);
  std::deque<Slot> Result;
  for (std::int64_t Number = Last - Total + 1; Number <= Last; ++Number) {
    double Sum = Count / static_cast<double>(Total);
    for (const Slot &Each : this->Slots) {
      Sum += Each.Number == Number ? Each.Count : 0;
    }
    Result.push_back({Number, Sum});
  }
  this->Slots = std::move(Result);
}

double QuotaTally::sum(Duration Window, TimePoint Now) const {
  const std::int64_t First = slotNumber(Now) - static_cast<std::int64_t>(slotCount(Window)) + 1;
  double Result = 0;
  for (const Slot &Each : this->Slots) {
    Result += Each.Number >= First ? Each.Count : 0;
  }
  return std::max(0.0, Result);
}

void QuotaTally::addTo(std::vector<double> &ByAge, TimePoint Now) const {
  const std::int64_t Newest = slotNumber(Now);
  for (const Slot &Each : this->Slots) {
    const auto Age = static_cast<std::size_t>(std::max<std::int64_t>(0, Newest - Each.Number));
    if (Age < ByAge.size()) {
      ByAge[Age] += Each.Count;
    }
  }
}

void QuotaTally::removeOlderThan(Duration Window, TimePoint Now) {
  const std::int64_t First = slotNumber(Now) - static_cast<std::int64_t>(slotCount(Window)) + 1;
  while (!this->Slots.empty() && this->Slots.front().Number < First) {
    this->Slots.pop_front();
  }
}

} // namespace anvilsaddle
