#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <map>

namespace anvilsaddle {

/// Learns for each service how much longer work takes at a target that has no slot left than at one
/// with room, apart from waiting. Some targets slow down so much when they are full that they do
/// more work with a slot idle; without knowing that, a short overload turns into a lasting one. Not
/// thread-safe; times must not decrease.
class SaturationEstimator {
public:
  /// Factor of a service without recent answers of full targets: below the one from which on a slot
  /// of three is left idle, so that a few slow answers suffice to do so.
  static constexpr double Unknown = 1.3;

  /// Times as long as at a target with room; at least 1.
  double factor(const ServiceName &Service, TimePoint Now) const;
  /// Learns from the answer to a request that took the last slot. `Ratio` is the time at the target
  /// over the usual one.
  void onAnswer(const ServiceName &Service, double Ratio, TimePoint Now);

private:
  struct Learned {
    double Factor = Unknown;
    TimePoint Time{};
  };

  std::map<ServiceName, Learned> Services;
};

} // namespace anvilsaddle
