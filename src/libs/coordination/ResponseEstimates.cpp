#include "coordination/ResponseEstimates.h"

#include <algorithm>
#include <chrono>

namespace anvilsaddle {

ProcessingTimeEstimator::Estimate ResponseEstimates::estimate(const RequestAttributes &Attributes,
                                                              TimePoint Now) const {
  ProcessingTimeEstimator::Estimate Result =
      this->Routes.estimate(Attributes.Route, Attributes.Objective);
  Result.SaturationFactor = this->Services.saturationFactor(Attributes.Service, Now);
  return Result;
}

void ResponseEstimates::onResponse(const RequestAttributes &Attributes,
                                   const DispatchAttempt &Ended, const AttemptResult &Result,
                                   TimePoint Now) {
  const Duration Elapsed = Now - Ended.SentAt;
  if (Ended.TargetOccupancy == Occupancy::FreeSlots) {
    this->Routes.onResponse(Attributes.Route, Attributes.Objective, Elapsed, Ended.Slowdown,
                            static_cast<double>(Result.ResponseBytes));
  } else if (Ended.TargetOccupancy == Occupancy::LastSlot) {
    const Duration Usual =
        scaled(this->estimate(Attributes, Now).ProcessingTime, std::max(1.0, Ended.Slowdown));
    this->Services.onResponse(
        Attributes.Service,
        std::chrono::duration<double>(Elapsed) / std::chrono::duration<double>(Usual), Now);
  }
}

} // namespace anvilsaddle
