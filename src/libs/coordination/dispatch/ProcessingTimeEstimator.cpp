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
/// Slowdowns below this are lost in the variation of processing times.
constexpr double MinLearnedSlowdown = 1.5;
/// Larger ratios, such as those of targets that have stopped, must not outweigh all others.
constexpr double MaxLearnedRatio = 20;
/// The initial persistence counts as two runs at targets that report a slowdown of 5.
constexpr double InitialPersistence = 0.6;
constexpr double InitialSquares = 32;
/// Weight that earlier runs keep with each new one, because the VMs' neighbours change.
constexpr double PersistenceDecay = 0.95;

} // namespace

ProcessingTimeEstimator::Estimate ProcessingTimeEstimator::estimate(const RouteName &Route,
                                                                    Duration Objective) const {
  const auto Found = this->Routes.find(Route);
  Estimate Result = {
      std::chrono::duration_cast<Duration>(Objective * InitialProcessingTimeFraction),
      InitialResponseBytes,
      {}};
  if (Found != this->Routes.end()) {
    Result = Found->second;
  }
  const auto Learned = this->Persistences.find(Route);
  const Persistence Sums = Learned == this->Persistences.end() ? Persistence{} : Learned->second;
  Result.SlowdownPersistence = std::clamp((Sums.Products + InitialPersistence * InitialSquares) /
                                              (Sums.Squares + InitialSquares),
                                          0.0, 1.0);
  return Result;
}

void ProcessingTimeEstimator::onSlowdownSeen(const RouteName &Route, double ReportedSlowdown,
                                             double Ratio) {
  if (ReportedSlowdown < MinLearnedSlowdown) {
    return;
  }
  const double Reported = std::min(ReportedSlowdown, MaxLearnedRatio) - 1;
  const double Experienced = std::clamp(Ratio, 1.0, MaxLearnedRatio) - 1;
  Persistence &Sums = this->Persistences[Route];
  Sums.Products = PersistenceDecay * Sums.Products + Reported * Experienced;
  Sums.Squares = PersistenceDecay * Sums.Squares + Reported * Reported;
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
