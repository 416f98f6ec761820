#include "coordination/SaturationEstimator.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Relative step of the median estimate towards a ratio above or below it.
constexpr double MedianStep = 0.04;
constexpr double MaxFactor = 4;
/// Estimates decay towards the default with this half-life, because a slot that is left idle
/// produces no new responses.
constexpr Duration HalfLife = 60s;

} // namespace

double SaturationEstimator::saturationFactor(const ServiceName &Service, TimePoint Now) const {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end()) {
    return DefaultFactor;
  }
  const double HalfLives = std::chrono::duration<double>(Now - Found->second.Time) /
                           std::chrono::duration<double>(HalfLife);
  return DefaultFactor + (Found->second.Factor - DefaultFactor) * std::exp2(-HalfLives);
}

void SaturationEstimator::onResponse(const ServiceName &Service, double Ratio, TimePoint Now) {
  const double Current = this->saturationFactor(Service, Now);
  // Steps of equal size up and down converge to the median, which single slow responses do not
  // move.
  const double Stepped = Ratio > Current ? Current * (1 + MedianStep) : Current / (1 + MedianStep);
  this->Services[Service] = {std::clamp(Stepped, 1.0, MaxFactor), Now};
}

} // namespace anvilsaddle
