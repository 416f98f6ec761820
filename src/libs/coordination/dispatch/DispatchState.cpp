#include "coordination/dispatch/DispatchState.h"

#include <utility>

namespace anvilsaddle {

namespace {

/// A request can't be served in time if less than this fraction of the usual processing time is
/// left until its deadline.
constexpr double MinProcessingTimeFraction = 0.5;

} // namespace

DispatchState::DispatchState(Topology FleetTopology, const DispatchLimits &Limits, std::string Self,
                             RandomSource &Random)
    : Finder(std::move(FleetTopology), Limits.ColdStart, Self, Random),
      EntriesOfOtherRegions(std::move(Self)), Retries(Limits.Retries), Hedges(Limits.Hedges),
      Random(Random) {}

Duration DispatchState::minProcessingTime(const RequestAttributes &Attributes,
                                          TimePoint Now) const {
  return scaled(this->Estimates.estimate(Attributes, Now).ProcessingTime,
                MinProcessingTimeFraction);
}

void DispatchState::updateTimer(RequestNumber Number, const DispatchRequest &Request) {
  this->Timers.set(Number, Request.nextTimer());
}

} // namespace anvilsaddle
