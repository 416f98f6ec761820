#pragma once

#include "coordination/dispatch/DispatchRequest.h"
#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/ProcessingTimeEstimator.h"
#include "coordination/dispatch/SaturationEstimator.h"
#include "state/Time.h"

namespace anvilsaddle {

/// Estimates for the responses to a request: the processing time of its route, and how much its
/// service's targets slow down when they are full. Learns from the responses of targets. Performs
/// no I/O and reads no clock; times must not decrease. Not thread-safe.
class ResponseEstimates {
public:
  ProcessingTimeEstimator::Estimate estimate(const RequestAttributes &Attributes,
                                             TimePoint Now) const;
  /// Records a successful response. Attempts without an occupancy are ignored, because their time
  /// does not tell the processing time.
  void onResponse(const RequestAttributes &Attributes, const DispatchAttempt &Ended,
                  const AttemptResult &Result, TimePoint Now);

  /// Records that an attempt was still running after this time, when its request's deadline cut it
  /// off.
  void onCutOff(const RequestAttributes &Attributes, const DispatchAttempt &Ended, TimePoint Now);

  SaturationEstimator &saturation() { return this->Services; }

private:
  /// Learns how much of the slowdown that the target reported the run has experienced.
  void learnPersistence(const RequestAttributes &Attributes, const DispatchAttempt &Ended,
                        TimePoint Now);

  ProcessingTimeEstimator Routes;
  SaturationEstimator Services;
};

} // namespace anvilsaddle
