#include "coordination/dispatch/ProcessingTimeEstimator.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Objectives are usually about two to three times the usual processing time.
constexpr double InitialProcessingTimeFraction = 0.4;
/// Relative step of the median estimate towards a response time above or below it.
constexpr double MedianStep = 0.04;
/// Weight of one response in the moving average of the size.
constexpr double SizeWeight = 0.1;
constexpr double InitialResponseBytes = 1500;

} // namespace

ProcessingTimeEstimator::Estimate ProcessingTimeEstimator::estimate(const RouteName &Route,
                                                                    Duration Objective) const {
  const auto Found = this->Routes.find(Route);
  if (Found != this->Routes.end()) {
    return Found->second;
  }
  return {std::chrono::duration_cast<Duration>(Objective * InitialProcessingTimeFraction),
          InitialResponseBytes,
          {}};
}

void ProcessingTimeEstimator::onResponse(const RouteName &Route, Duration Objective,
                                         Duration Elapsed, double Slowdown, double ResponseBytes) {
  Estimate Current = this->estimate(Route, Objective);
  const Duration Usual = std::chrono::duration_cast<Duration>(Elapsed / std::max(1.0, Slowdown));
  // Steps of equal size up and down converge to the median, which single slow responses do not
  // move.
  const double Factor = Usual > Current.ProcessingTime ? 1 + MedianStep : 1 - MedianStep;
  Current.ProcessingTime = std::max(
      Duration(1000), std::chrono::duration_cast<Duration>(Current.ProcessingTime * Factor));
  Current.ResponseBytes += SizeWeight * (ResponseBytes - Current.ResponseBytes);
  this->Routes[Route] = Current;
}

} // namespace anvilsaddle
