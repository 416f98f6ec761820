#pragma once

#include "coordination/dispatch/DispatchState.h"
#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/RequestCompletion.h"
#include "coordination/dispatch/RequestQueueing.h"
#include "coordination/dispatch/RequestSearches.h"
#include "state/Topology.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Decides to which target each request of this entry is sent, when it is retried, and when it is
/// refused.
///
/// A target is selected by probing a few targets just before the request is sent: first in the own
/// failure domain, then in the region, then targets that are cold or report themselves unhealthy.
/// The search ends at the first target that is good enough, or else takes the best one. If another
/// region can serve the request better, the request is forwarded to an entry there, whose probes
/// are more recent than probes from this region. If no target has free capacity, the request is
/// queued at this entry. An idempotent request is retried after a failure of its target, and hedged
/// when the response takes longer than usual. A request that is not idempotent is retried only if
/// its target did not execute it.
///
/// Performs no I/O and reads no clock: events come in as calls, and decisions go out as effects.
/// Times must not decrease. Not thread-safe.
class Dispatcher {
public:
  /// Precondition: the random source outlives the dispatcher. `Self` is the name of this entry
  /// among the live entries.
  Dispatcher(Topology FleetTopology, const DispatchLimits &Limits, std::string Self,
             RandomSource &Random);

  TargetTable &targets() { return this->State.Finder.targets(); }
  const TargetTable &targets() const { return this->State.Finder.targets(); }
  void setServices(std::map<ServiceName, Service> Services) {
    this->State.Finder.setServices(std::move(Services));
  }
  /// Sets the names of the live entries of this region, including this one, and the number of live
  /// entries of the whole fleet.
  void setEntries(std::vector<std::string> RegionEntries, std::size_t FleetEntryCount);
  /// Sets this entry's share of the budget for retries. Without a call, the entry has no base
  /// share.
  void setRetryShare(const RetryShare &Share) { this->State.Retries.setShare(Share); }
  /// Sets the ready entries of other regions, to which requests may be forwarded.
  void setRemoteEntries(RemoteEntries::EntriesByRegion Ready) {
    this->State.EntriesOfOtherRegions.setReadyEntries(std::move(Ready));
  }

  /// This entry's share of the budget for retries, and its use by service.
  const RetryShare &retryShare() const { return this->State.Retries.share(); }
  double baseRetryShare() const { return this->State.Retries.baseShare(); }
  RetryUsages retryUsages(TimePoint Now) const { return this->State.Retries.usages(Now); }
  const HedgeCounts &hedgeCounts() const { return this->State.Hedges.counts(); }
  /// Estimates to exchange with other entries.
  SaturationEstimator &saturation() { return this->State.Estimates.saturation(); }

  /// Called when the entry shuts down. From now on, each request gets its final response by the
  /// given time at the latest, and requests that can't be expected to end by then are refused.
  /// Later calls may only shorten the time.
  void beginShutdown(TimePoint FinalResponseTime, TimePoint Now);
  /// Precondition: the number has not been used before.
  void onRequest(RequestNumber Number, RequestAttributes Attributes, TimePoint Now);
  /// Cancels the attempts of the request and removes it.
  void onCallerDisconnected(RequestNumber Number, TimePoint Now);
  void onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now);
  void onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now);
  /// Ignores unknown requests and attempts.
  void onAttemptEnd(RequestNumber Number, AttemptNumber Attempt, const AttemptResult &Result,
                    TimePoint Now);
  /// Called when the entry is about to send the response of an attempt to the caller although the
  /// end of the response has not arrived yet. `Conditions` are the demands of the target in the
  /// head of the response. Cancels all other attempts. The request keeps its deadline, at which the
  /// response is aborted. Returns false if the request has ended, so that the response must not be
  /// sent.
  [[nodiscard]] bool onResponseCommitted(RequestNumber Number, AttemptNumber Attempt,
                                         const TargetConditions &Conditions, TimePoint Now);
  /// Called when a committed response has ended. Ignores unknown requests.
  void onCommittedResponseEnd(RequestNumber Number, TimePoint Now);
  /// Handles the timers of requests and queues that are due, and those of targets().
  void onTick(TimePoint Now);
  /// Time at which onTick() has to be called next.
  std::optional<TimePoint> nextTick() const;

  /// Returns the effects since the last call, in order.
  std::vector<Effect> takeEffects() { return std::exchange(this->State.Effects, {}); }

  std::size_t requestCount() const { return this->State.Requests.size(); }
  std::size_t queueLength() const;
  const DispatchCounters &counters() const { return this->State.Counters; }

private:
  /// Sets the time that a returning caller has spent, if it takes the place of its first attempt.
  void recognizeReturn(RequestAttributes &Attributes, TimePoint Now);
  /// Records whether a target executed a request or rejected it, and if so, whether it was full.
  void recordAnswer(const DispatchAttempt &Ended, const AttemptResult &Result, TimePoint Now);
  void onForwardFailed(const DispatchRequest &Request, DispatchAttempt &Ended,
                       AttemptOutcome Outcome, TimePoint Now);
  /// Records that the response of an attempt is delivered, before the others are cancelled.
  void onDelivered(const DispatchRequest &Request, AttemptNumber Attempt, TimePoint Now);
  /// Does nothing while another attempt or a search of the request runs.
  void retryOrFinish(RequestNumber Number, TimePoint Now);
  void onRequestTimer(RequestNumber Number, TimePoint Now);

  DispatchState State;
  RequestCompletion Completion;
  RequestQueueing Queueing;
  RequestSearches Searches;
};

} // namespace anvilsaddle
