#include "coordination/SaturationEstimator.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Step of the median towards an answer above or below it.
constexpr double MedianStep = 0.04;
constexpr double LargestFactor = 4;
/// What was learned fades at this rate, because a slot that is left idle brings no new answers.
constexpr Duration HalfLife = 60s;

} // namespace

double SaturationEstimator::factor(const ServiceName &Service, TimePoint Now) const {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end()) {
    return Unknown;
  }
  const double HalfLives = std::chrono::duration<double>(Now - Found->second.Time) /
                           std::chrono::duration<double>(HalfLife);
  return Unknown + (Found->second.Factor - Unknown) * std::exp2(-HalfLives);
}

void SaturationEstimator::onAnswer(const ServiceName &Service, double Ratio, TimePoint Now) {
  const double Current = this->factor(Service, Now);
  // Steps of equal size up and down settle at the median, which single slow answers don't move.
  const double Stepped = Ratio > Current ? Current * (1 + MedianStep) : Current / (1 + MedianStep);
  this->Services[Service] = {std::clamp(Stepped, 1.0, LargestFactor), Now};
}

} // namespace anvilsaddle
