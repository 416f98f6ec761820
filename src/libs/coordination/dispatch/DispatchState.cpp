#include "coordination/dispatch/DispatchState.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

/// A request can't be served in time if less than this fraction of the usual processing time is
/// left until its deadline.
constexpr double MinProcessingTimeFraction = 0.5;
/// The same if the request is not idempotent: a run that is cut off can't be repeated, and half of
/// the runs take longer than usual.
constexpr double NonIdempotentMinTimeFraction = 0.9;

} // namespace

DispatchState::DispatchState(Topology FleetTopology, const DispatchLimits &Limits, std::string Self,
                             RandomSource &Random)
    : Finder(std::move(FleetTopology), Limits.ColdStart, Self, Random),
      EntriesOfOtherRegions(std::move(Self)), Retries(Limits.Retries), Hedges(Limits.Hedges),
      Random(Random) {}

Duration DispatchState::minProcessingTime(const RequestAttributes &Attributes,
                                          TimePoint Now) const {
  return scaled(this->Estimates.estimate(Attributes, Now).ProcessingTime,
                Attributes.Idempotent ? MinProcessingTimeFraction : NonIdempotentMinTimeFraction);
}

std::optional<TimePoint> DispatchState::pauseEnd(const DispatchRequest &Request, TimePoint Now) {
  return this->targets().pausedCount() == 0
             ? std::nullopt
             : this->Finder.pauseEnd(Request.Attributes, Request.usedTargetNames(), Now);
}

Duration DispatchState::expectedWait(const RequestAttributes &Attributes, TimePoint Now) const {
  const auto Found = this->Queues.find(Attributes.Service);
  if (Found == this->Queues.end()) {
    return Duration(0);
  }
  const ServiceQueue &Queue = Found->second;
  const Duration ProcessingTime = this->Estimates.estimate(Attributes, Now).ProcessingTime;
  const Duration Wait =
      Queue.Requests.expectedWait(Attributes, ProcessingTime, Now).value_or(Duration(0));
  const auto Interval = Queue.Shortage.dispatchInterval(Now);
  // A late response to an idempotent request costs less than an estimate that is too long.
  if (!Interval || Attributes.Idempotent) {
    return Wait;
  }
  // The first request in the queue also waits for a slot.
  const auto Ahead = Queue.Requests.countAhead(Attributes, ProcessingTime, Now);
  return std::max(Wait, *Interval * static_cast<std::int64_t>(Ahead + 1));
}

void DispatchState::updateTimer(RequestNumber Number, const DispatchRequest &Request) {
  this->Timers.set(Number, Request.nextTimer());
}

} // namespace anvilsaddle
