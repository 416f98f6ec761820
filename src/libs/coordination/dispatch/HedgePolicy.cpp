#include "coordination/dispatch/HedgePolicy.h"

#include <algorithm>
#include <chrono>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Time in which the search for the second target usually ends, with the round trip of its probes.
constexpr Duration SearchTime = 10ms;

double ratio(Duration Left, Duration Right) {
  return std::chrono::duration<double>(Left) / std::chrono::duration<double>(Right);
}

} // namespace

void HedgePolicy::onRequest(const RequestAttributes &Attributes) {
  // The entry from which the request came has counted it.
  if (!Attributes.CameFromOtherEntry) {
    this->Budget.onRequest();
  }
}

std::optional<TimePoint> HedgePolicy::hedgeTime(const DispatchRequest &Request,
                                                Duration ProcessingTime, Duration ExpectedTime,
                                                TimePoint Now) const {
  const RequestAttributes &Attributes = Request.Attributes;
  if (this->Budget.share().value_or(0) <= 0 || Request.HedgeAttempt || !Attributes.Idempotent ||
      Request.usedTargetCount() >= Attributes.MaxTargets) {
    return std::nullopt;
  }
  const double Factor = this->Quantiles.factor(Attributes.Route);
  const TimePoint Unusual = Now + scaled(std::max(ProcessingTime, ExpectedTime), Factor);
  // A hedge that is sent before this time gains nothing for the objective.
  const TimePoint Latest =
      Attributes.ReceivedAt + Attributes.Objective - scaled(ProcessingTime, Factor) - SearchTime;
  return std::max(Unusual, Latest);
}

bool HedgePolicy::isWorthwhile(const DispatchRequest &Request, const PlacementChoice &Choice,
                               TimePoint Now) const {
  // A response that is later than 95 in 100 usually takes at least as long again. In an overload,
  // few targets have a second slot left, which switches hedging off before it adds to the load.
  return Choice.UsableSlotsLeft >= 1 && Choice.Cost <= Now - Request.Attempts.back().SentAt;
}

HedgeInputs HedgePolicy::inputs(const DispatchRequest &Request, TimePoint Now) const {
  const DispatchAttempt &First = Request.Attempts.back();
  return {Now - First.SentAt, First.ExpectedTime, this->Quantiles.factor(Request.Attributes.Route),
          this->Budget.credit()};
}

void HedgePolicy::acquire() {
  this->Budget.tryAcquire();
  ++this->Counts.Sent;
}

void HedgePolicy::onWithheld(HedgeObstacle Obstacle) {
  ++this->Counts.Withheld.at(static_cast<std::size_t>(Obstacle));
}

void HedgePolicy::onDelivered(const DispatchRequest &Request, AttemptNumber Attempt,
                              TimePoint Now) {
  if (!this->isLimited()) {
    return;
  }
  if (Request.HedgeAttempt == Attempt) {
    ++this->Counts.Won;
  }
  for (std::size_t Index = 0; Index < Request.Attempts.size(); ++Index) {
    const DispatchAttempt &Each = Request.Attempts[Index];
    const auto Number = static_cast<AttemptNumber>(Index);
    // The time of a hedge that was cancelled says nothing, as it was sent later.
    const bool IsTold = Number == Attempt || Each.IsRunning;
    if (IsTold && Request.HedgeAttempt != Number && !Each.IsForwarded &&
        Each.ExpectedTime > Duration(0)) {
      this->Quantiles.onResponse(Request.Attributes.Route,
                                 ratio(Now - Each.SentAt, Each.ExpectedTime));
    }
  }
}

} // namespace anvilsaddle
