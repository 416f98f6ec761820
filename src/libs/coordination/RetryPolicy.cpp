#include "coordination/RetryPolicy.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

Duration RetryPolicy::delay(std::uint32_t Attempts, double Draw) {
  const int Doublings = static_cast<int>(std::clamp(Attempts, 1U, 16U)) - 1;
  const double Bound = std::min(static_cast<double>(MaxDelay.count()),
                                std::ldexp(static_cast<double>(BaseDelay.count()), Doublings));
  return Duration(static_cast<std::int64_t>(Draw * Bound));
}

RetryDecision RetryPolicy::decide(const FailedAttempt &Failed, double Draw, TimePoint Now) {
  if (Failed.Class == FailureClass::Permanent) {
    return NoRetry::Permanent;
  }
  if (Failed.AnswerStarted) {
    return NoRetry::AnswerStarted;
  }
  if (!Failed.Repeatable && !Failed.ProvablyNotRun) {
    return NoRetry::MayHaveRun;
  }
  if (!Failed.BodyKept) {
    return NoRetry::NoBody;
  }
  if (Failed.Attempts >= MaxAttempts) {
    return NoRetry::Attempts;
  }
  const TimePoint When = Now + delay(Failed.Attempts, Draw);
  if (When >= Failed.Deadline) {
    return NoRetry::Deadline;
  }
  RetryAt Result{When, Failed.Excluded};
  Result.Excluded.insert(Failed.Target);
  return Result;
}

} // namespace anvilsaddle
