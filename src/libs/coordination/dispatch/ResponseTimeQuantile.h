#pragma once

#include "state/Identifiers.h"

#include <map>

namespace anvilsaddle {

/// Estimates for each route the factor by which 95 in 100 responses take at most longer than what
/// their targets' load reports let expect. Not thread-safe.
class ResponseTimeQuantile {
public:
  static constexpr double Quantile = 0.95;
  /// Responses vary by a tenth without any cause, so that a smaller factor says nothing.
  static constexpr double MinFactor = 1.1;
  /// Used for a route without responses.
  static constexpr double InitialFactor = 1.5;
  /// Keeps the estimate below the slow responses if there are more of them than the quantile leaves
  /// out.
  static constexpr double MaxFactor = 2;

  double factor(const RouteName &Route) const;
  /// Records a response that took `Factor` times the expected time, or longer if its attempt was
  /// cancelled.
  void onResponse(const RouteName &Route, double Factor);

private:
  std::map<RouteName, double> Factors;
};

} // namespace anvilsaddle
