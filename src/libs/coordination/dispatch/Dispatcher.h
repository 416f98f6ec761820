#pragma once

#include "coordination/dispatch/DispatchRequest.h"
#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/Placement.h"
#include "coordination/dispatch/RemoteEntries.h"
#include "coordination/dispatch/RequestTimers.h"
#include "coordination/dispatch/ResponseEstimates.h"
#include "coordination/dispatch/ServiceQueue.h"
#include "coordination/dispatch/TargetFinder.h"
#include "coordination/limits/RetryBudget.h"
#include "state/Topology.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

class RandomSource;

/// Limits that hold for all entries of a fleet together. Value type.
struct DispatchLimits {
  RetryBudgetLimits Retries;
  ColdStartLimits ColdStart;

  auto operator<=>(const DispatchLimits &) const = default;
};

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

  TargetTable &targets() { return this->Finder.targets(); }
  const TargetTable &targets() const { return this->Finder.targets(); }
  void setServices(std::map<ServiceName, Service> Services) {
    this->Finder.setServices(std::move(Services));
  }
  /// Sets the names of the live entries of this region, including this one, and the number of
  /// entries of the whole fleet.
  void setEntries(std::vector<std::string> RegionEntries, std::size_t FleetEntryCount);
  /// Sets the ready entries of other regions, to which requests may be forwarded.
  void setRemoteEntries(RemoteEntries::EntriesByRegion Ready) {
    this->EntriesOfOtherRegions.setReadyEntries(std::move(Ready));
  }

  /// Estimates to exchange with other entries.
  SaturationEstimator &saturation() { return this->Estimates.saturation(); }

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
  std::vector<Effect> takeEffects() { return std::exchange(this->Effects, {}); }

  std::size_t requestCount() const { return this->Requests.size(); }
  std::size_t queueLength() const;

private:
  /// True if the shutdown ends the request before its own deadline.
  bool isLimitedByShutdown(const RequestAttributes &Attributes) const;
  /// True if a new request probably ends before the shutdown does, or has no other chance because
  /// its own deadline comes first.
  bool canEndBeforeShutdown(const DispatchRequest &Request, TimePoint Now) const;
  SearchContext searchContext(const DispatchRequest &Request, TimePoint Now) const;
  void onForwardFailed(const DispatchRequest &Request, DispatchAttempt &Ended,
                       AttemptOutcome Outcome, TimePoint Now);
  void startSearch(RequestNumber Number, bool IsHedge, TimePoint Now);
  void endSearch(DispatchRequest &Request);
  /// Adds the targets of the next stage that has any, up to `LastStage`. Returns false if there is
  /// none.
  bool addNextStage(DispatchRequest &Request, SearchStage LastStage, TimePoint Now);
  void advanceSearch(RequestNumber Number, TimePoint Now);
  /// Decides whether the request takes a slot that is otherwise left idle, to learn how much slower
  /// the target becomes.
  bool tryExplore(const DispatchRequest &Request, const PlacementChoice &Choice, TimePoint Now);
  bool trySend(RequestNumber Number, const PlacementChoice &Choice, std::size_t CandidateCount,
               TimePoint Now);
  /// Forwards the request to another region if it is served better there.
  bool tryForward(RequestNumber Number, TimePoint Now);
  void onSearchFailed(RequestNumber Number, TimePoint Now);
  void send(RequestNumber Number, TargetState &State, const PlacementChoice &Choice,
            PlacementDetails Details, TimePoint Now);
  void onHedgeDue(RequestNumber Number, TimePoint Now);

  /// `IsFromQueue` tells that the request was taken from the queue for the search that has ended.
  void enqueue(RequestNumber Number, bool IsFromQueue, TimePoint Now);
  /// Starts a search for the first queued request, if one may start now.
  void startSearchForQueued(const ServiceName &Service, TimePoint Now);
  /// Sends the first queued request to a target that has just responded, if the target has free
  /// capacity.
  void dispatchToFreedSlot(const ServiceName &Service, const TargetName &Name, TimePoint Now);
  /// Removes the first request from the queue for a search. Returns nothing if no search may start
  /// now.
  std::optional<RequestNumber> dequeueForSearch(ServiceQueue &Queue, TimePoint Now);
  /// Refuses requests at the back of the queue whose deadline expires before they can be sent.
  void refuseUnservableRequests(DispatchQueue &Queue, TimePoint Now);
  bool canRetry(const DispatchRequest &Request, TimePoint Now);
  /// Does nothing while another attempt or a search of the request runs.
  void retryOrFinish(RequestNumber Number, TimePoint Now);
  /// Delivers the error response of a target, if there is one, or else refuses the request.
  void deliverErrorOrRefuse(RequestNumber Number, const std::string &Reason, TimePoint Now);
  void deliver(RequestNumber Number, AttemptNumber Attempt, TimePoint Now);
  void refuse(RequestNumber Number, RefusalKind Kind, std::string Reason, Duration RetryAfter,
              TimePoint Now);
  void removeRequest(RequestNumber Number, TimePoint Now);
  /// Cancels the running attempts of a request, except for the given one.
  void cancelAttempts(RequestNumber Number, std::optional<AttemptNumber> KeptAttempt,
                      TimePoint Now);
  /// Ends the search of a request and removes it from its queue.
  void stopWaiting(RequestNumber Number);
  Duration retryAfter(const DispatchRequest &Request, TimePoint Now);
  void updateTimer(RequestNumber Number, const DispatchRequest &Request);
  /// Ends the request, whether or not its response has begun.
  void onDeadline(RequestNumber Number, const std::string &Reason, TimePoint Now);
  void onRequestTimer(RequestNumber Number, TimePoint Now);
  void resumeSearches(const TargetName &Name, TimePoint Now);

  TargetFinder Finder;
  RemoteEntries EntriesOfOtherRegions;
  RetryBudget Retries;
  ResponseEstimates Estimates;
  RandomSource &Random;
  std::map<ServiceName, ServiceQueue> Queues;
  std::map<RequestNumber, DispatchRequest> Requests;
  RequestTimers Timers;
  std::vector<Effect> Effects;
  /// Time of the final responses; set once the entry shuts down.
  std::optional<TimePoint> ShutdownTime;
};

} // namespace anvilsaddle
