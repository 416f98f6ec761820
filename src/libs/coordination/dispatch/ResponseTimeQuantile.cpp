#include "coordination/dispatch/ResponseTimeQuantile.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Relative step of the estimate. With 0.04, a route converges from the initial to the smallest
/// factor within some 160 responses.
constexpr double Step = 0.04;

} // namespace

double ResponseTimeQuantile::factor(const RouteName &Route) const {
  const auto Found = this->Factors.find(Route);
  return Found == this->Factors.end() ? InitialFactor : Found->second;
}

void ResponseTimeQuantile::onResponse(const RouteName &Route, double Factor) {
  const double Current = this->factor(Route);
  // The steps balance if the share of responses above the estimate is 1 - Quantile.
  const double Change = Factor > Current ? 1 + Step * Quantile : 1 - Step * (1 - Quantile);
  this->Factors[Route] = std::clamp(Current * Change, MinFactor, MaxFactor);
}

} // namespace anvilsaddle
