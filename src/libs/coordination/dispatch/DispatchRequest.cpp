#include "coordination/dispatch/DispatchRequest.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// A hedge is sent when the response takes longer than the usual and the expected time, each
/// multiplied by its factor.
constexpr double HedgeProcessingTimeFactor = 1.5;
constexpr double HedgeExpectedTimeFactor = 1.25;
/// A hedge must start this many times the usual processing time before the objective to meet it.
constexpr double HedgeObjectiveReserveFactor = 1.15;

} // namespace

bool DispatchRequest::hasRunningAttempt() const {
  return std::any_of(this->Attempts.begin(), this->Attempts.end(),
                     [](const DispatchAttempt &Each) { return Each.IsRunning; });
}

std::uint32_t DispatchRequest::usedTargetCount() const {
  std::uint32_t Result = 0;
  for (const DispatchAttempt &Each : this->Attempts) {
    Result += Each.MaxTargets;
  }
  return Result;
}

std::vector<TargetName> DispatchRequest::usedTargetNames() const {
  std::vector<TargetName> Result;
  for (const DispatchAttempt &Each : this->Attempts) {
    Result.push_back(Each.Target);
  }
  return Result;
}

bool DispatchRequest::mayRetry() const {
  return (this->Attributes.Idempotent || !this->MayHaveExecuted) &&
         this->usedTargetCount() < this->Attributes.MaxTargets;
}

std::optional<TimePoint> DispatchRequest::hedgeTime(Duration ProcessingTime, Duration ExpectedTime,
                                                    TimePoint Now) const {
  if (!this->Attributes.Idempotent || this->usedTargetCount() >= this->Attributes.MaxTargets) {
    return std::nullopt;
  }
  const TimePoint Usual = Now + std::max(scaled(ProcessingTime, HedgeProcessingTimeFactor),
                                         scaled(ExpectedTime, HedgeExpectedTimeFactor));
  const TimePoint Latest = this->Attributes.ReceivedAt + this->Attributes.Objective -
                           scaled(ProcessingTime, HedgeObjectiveReserveFactor);
  // A hedge is not justified before the usual time has passed.
  return std::max(Now + ProcessingTime, std::min(Usual, Latest));
}

TimePoint DispatchRequest::nextTimer() const {
  TimePoint Result = this->Attributes.Deadline;
  if (this->Search) {
    Result = std::min(Result, this->Search->StageDeadline);
  }
  if (this->HedgeAt) {
    Result = std::min(Result, *this->HedgeAt);
  }
  return Result;
}

} // namespace anvilsaddle
