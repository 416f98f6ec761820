#include "coordination/dispatch/TargetPauses.h"

#include "coordination/EraseOldest.h"

#include <algorithm>

namespace anvilsaddle {

TargetPause TargetPauses::add(const Target &Registration, Duration Requested, TimePoint Now) {
  const TimePoint End = std::max(this->endOf(Registration), Now + std::min(Requested, MaxPause));
  this->Pauses[Registration.Name] = {Registration.StartedUnixMilliseconds, End, Now};
  if (this->Pauses.size() > MaxTargets) {
    eraseOldest(this->Pauses);
  }
  return {Registration.Name, Registration.Service, Registration.StartedUnixMilliseconds, Requested,
          End - Now};
}

TimePoint TargetPauses::endOf(const Target &Registration) const {
  const auto Found = this->Pauses.find(Registration.Name);
  const bool IsKnown = Found != this->Pauses.end() && Found->second.StartedUnixMilliseconds ==
                                                          Registration.StartedUnixMilliseconds;
  return IsKnown ? Found->second.End : TimePoint{};
}

void TargetPauses::removeEnded(TimePoint Now) {
  std::erase_if(this->Pauses, [Now](const auto &Each) { return Each.second.End <= Now; });
}

} // namespace anvilsaddle
