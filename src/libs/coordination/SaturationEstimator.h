#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <map>

namespace anvilsaddle {

/// Estimates for each service how much longer a request takes at a target without a free slot than
/// at one with free slots, apart from waiting. Some targets slow down so much when they are fully
/// occupied that they complete more requests with one slot idle; without this estimate a short
/// overload there becomes a permanent one. Not thread-safe; times must not decrease.
class SaturationEstimator {
public:
  /// Factor of a service without recent responses of saturated targets. It is below the factor from
  /// which on one slot of three is left idle, so that a few slow responses suffice to leave it
  /// idle.
  static constexpr double DefaultFactor = 1.3;

  /// Processing time relative to a target with free slots; at least 1.
  double saturationFactor(const ServiceName &Service, TimePoint Now) const;
  /// Updates the estimate from the response to a request that took the last slot. `Ratio` is its
  /// time at the target divided by the usual time.
  void onResponse(const ServiceName &Service, double Ratio, TimePoint Now);

private:
  struct Estimate {
    double Factor = DefaultFactor;
    TimePoint Time{};
  };

  std::map<ServiceName, Estimate> Services;
};

} // namespace anvilsaddle
