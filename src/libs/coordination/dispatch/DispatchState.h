#pragma once

#include "coordination/dispatch/CallerTimes.h"
#include "coordination/dispatch/DispatchRequest.h"
#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/HedgePolicy.h"
#include "coordination/dispatch/RemoteEntries.h"
#include "coordination/dispatch/RequestTimers.h"
#include "coordination/dispatch/ResponseEstimates.h"
#include "coordination/dispatch/ServiceQueue.h"
#include "coordination/dispatch/TargetFinder.h"
#include "coordination/limits/ColdStartLimiter.h"
#include "coordination/limits/HedgeBudget.h"
#include "coordination/limits/RetryBudget.h"
#include "state/Topology.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

class RandomSource;

/// Limits that hold for all entries of a fleet together. Value type.
struct DispatchLimits {
  RetryBudgetLimits Retries;
  ColdStartLimits ColdStart;
  HedgeLimits Hedges;

  auto operator<=>(const DispatchLimits &) const = default;
};

/// What the steps of dispatching know and change together: the open requests, the queues of the
/// services, the targets, and the effects that wait to be taken. Not thread-safe; times must not
/// decrease.
struct DispatchState {
  /// Precondition: the random source outlives the object. `Self` is the name of this entry among
  /// the live entries.
  DispatchState(Topology FleetTopology, const DispatchLimits &Limits, std::string Self,
                RandomSource &Random);

  TargetTable &targets() { return this->Finder.targets(); }
  /// Shortest time that a target needs for the request. A request with less time left can't be
  /// served. Thread safety as for the whole object.
  Duration minProcessingTime(const RequestAttributes &Attributes, TimePoint Now) const;
  /// Time until which all targets that could serve the request have asked this entry to wait;
  /// nothing if there is another one, or none at all. Thread safety as for the whole object.
  std::optional<TimePoint> pauseEnd(const DispatchRequest &Request, TimePoint Now);
  /// Expected wait of a request that is queued now. Thread safety as for the whole object.
  Duration expectedWait(const RequestAttributes &Attributes, TimePoint Now) const;
  /// Sets the timer of the request to the next event that it waits for.
  void updateTimer(RequestNumber Number, const DispatchRequest &Request);

  TargetFinder Finder;
  RemoteEntries EntriesOfOtherRegions;
  RetryBudget Retries;
  HedgePolicy Hedges;
  ResponseEstimates Estimates;
  RandomSource &Random;
  std::map<ServiceName, ServiceQueue> Queues;
  std::map<RequestNumber, DispatchRequest> Requests;
  RequestTimers Timers;
  std::vector<Effect> Effects;
  DispatchCounters Counters;
  CallerTimes StatedTimes;
  /// Time of the final responses; set once the entry shuts down.
  std::optional<TimePoint> ShutdownTime;
};

} // namespace anvilsaddle
