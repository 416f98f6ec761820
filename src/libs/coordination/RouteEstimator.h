#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <map>

namespace anvilsaddle {

/// Learns how long the requests of each route usually take at a target, and how large their answers
/// are. Not thread-safe.
class RouteEstimator {
public:
  /// What is expected of one request.
  struct Expected {
    /// Median time at a target that works as usual.
    Duration Work{0};
    double ResponseBytes = 0;
    /// Times as long as Work at a target that has no slot left.
    double FullFactor = 1;
  };

  /// The objective gives the first estimate of a route that has no answers yet.
  Expected expected(const RouteName &Route, Duration Objective) const;
  /// Learns from the answer of a target that had room. `Slowdown` is that of the target when the
  /// request was sent.
  void onAnswer(const RouteName &Route, Duration Objective, Duration Elapsed, double Slowdown,
                double ResponseBytes);

private:
  std::map<RouteName, Expected> Routes;
};

} // namespace anvilsaddle
