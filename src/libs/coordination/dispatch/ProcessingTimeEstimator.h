#pragma once

#include "coordination/dispatch/SaturationEstimator.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <map>

namespace anvilsaddle {

/// Estimates for each route how long its requests usually take at a target, and how large the
/// responses are. Not thread-safe.
class ProcessingTimeEstimator {
public:
  /// Estimate for one request.
  struct Estimate {
    /// Median time at a target with low occupancy and without slowdown.
    Duration ProcessingTime{0};
    double ResponseBytes = 0;
    /// Processing times at targets with higher occupancy, relative to ProcessingTime.
    SaturationFactors Saturation{};
    /// Part of the slowdown that a target reports when a request is sent that the run of this
    /// length experiences on average.
    double SlowdownPersistence = 0.6;
  };

  /// The objective provides the initial estimate of a route without responses.
  Estimate estimate(const RouteName &Route, Duration Objective) const;
  /// Updates the estimate from the response of a target that had low occupancy. `Slowdown` is that
  /// of the target when the request was sent.
  void onResponse(const RouteName &Route, Duration Objective, Duration Elapsed, double Slowdown,
                  double ResponseBytes);

  /// Updates the persistence of reported slowdowns. `Ratio` is the time of a run relative to the
  /// one expected at a target with the same load and without slowdown.
  void onSlowdownSeen(const RouteName &Route, double ReportedSlowdown, double Ratio);

private:
  /// Sums of the regression of the experienced slowdown on the reported one.
  struct Persistence {
    double Products = 0;
    double Squares = 0;
  };

  std::map<RouteName, Estimate> Routes;
  std::map<RouteName, Persistence> Persistences;
};

} // namespace anvilsaddle
