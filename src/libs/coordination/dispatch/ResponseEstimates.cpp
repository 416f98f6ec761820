#include "coordination/dispatch/ResponseEstimates.h"

#include <algorithm>
#include <chrono>

namespace anvilsaddle {

namespace {

/// A larger slowdown when the request is sent hides the effect of a high occupancy, because it
/// rarely persists until the response.
constexpr double MaxSlowdown = 1.5;

} // namespace

ProcessingTimeEstimator::Estimate ResponseEstimates::estimate(const RequestAttributes &Attributes,
                                                              TimePoint Now) const {
  ProcessingTimeEstimator::Estimate Result =
      this->Routes.estimate(Attributes.Route, Attributes.Objective);
  Result.Saturation = this->Services.factors(Attributes.Service, Now);
  return Result;
}

void ResponseEstimates::learnPersistence(const RequestAttributes &Attributes,
                                         const DispatchAttempt &Ended, TimePoint Now) {
  const ProcessingTimeEstimator::Estimate Estimate = this->estimate(Attributes, Now);
  const Duration Usual = scaled(Estimate.ProcessingTime, Estimate.Saturation.at(*Ended.Occupancy));
  this->Routes.onSlowdownSeen(Attributes.Route, Ended.Slowdown,
                              std::chrono::duration<double>(Now - Ended.SentAt) /
                                  std::chrono::duration<double>(Usual));
}

void ResponseEstimates::onCutOff(const RequestAttributes &Attributes, const DispatchAttempt &Ended,
                                 TimePoint Now) {
  if (Ended.Occupancy) {
    this->learnPersistence(Attributes, Ended, Now);
  }
}

void ResponseEstimates::onResponse(const RequestAttributes &Attributes,
                                   const DispatchAttempt &Ended, const AttemptResult &Result,
                                   TimePoint Now) {
  if (!Ended.Occupancy) {
    return;
  }
  this->learnPersistence(Attributes, Ended, Now);
  const Duration Elapsed = Now - Ended.SentAt;
  if (*Ended.Occupancy == SlotOccupancy::Low) {
    this->Routes.onResponse(Attributes.Route, Attributes.Objective, Elapsed, Ended.Slowdown,
                            static_cast<double>(Result.ResponseBytes));
    return;
  }
  if (Ended.Slowdown > MaxSlowdown) {
    return;
  }
  const Duration Usual =
      scaled(this->estimate(Attributes, Now).ProcessingTime, std::max(1.0, Ended.Slowdown));
  this->Services.onResponse(
      Attributes.Service, *Ended.Occupancy,
      std::chrono::duration<double>(Elapsed) / std::chrono::duration<double>(Usual), Now);
}

} // namespace anvilsaddle
