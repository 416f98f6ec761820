#include "coordination/RouteEstimator.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Objectives are commonly some two to three times the usual time.
constexpr double FirstWorkPart = 0.4;
/// Step of the median towards an answer above or below it.
constexpr double MedianStep = 0.04;
/// Weight of one answer in the mean size.
constexpr double SizeWeight = 0.1;
constexpr double FirstAnswerBytes = 1500;

} // namespace

RouteEstimator::Expected RouteEstimator::expected(const RouteName &Route,
                                                  Duration Objective) const {
  const auto Found = this->Routes.find(Route);
  if (Found != this->Routes.end()) {
    return Found->second;
  }
  return {std::chrono::duration_cast<Duration>(Objective * FirstWorkPart), FirstAnswerBytes, 1};
}

void RouteEstimator::onAnswer(const RouteName &Route, Duration Objective, Duration Elapsed,
                              double Slowdown, double ResponseBytes) {
  Expected Current = this->expected(Route, Objective);
  const Duration Usual = std::chrono::duration_cast<Duration>(Elapsed / std::max(1.0, Slowdown));
  // Steps of equal size up and down settle at the median, which single slow answers don't move.
  const double Factor = Usual > Current.Work ? 1 + MedianStep : 1 - MedianStep;
  Current.Work =
      std::max(Duration(1000), std::chrono::duration_cast<Duration>(Current.Work * Factor));
  Current.ResponseBytes += SizeWeight * (ResponseBytes - Current.ResponseBytes);
  this->Routes[Route] = Current;
}

} // namespace anvilsaddle
