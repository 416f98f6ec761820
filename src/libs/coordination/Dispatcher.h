#pragma once

#include "coordination/DispatchRequest.h"
#include "coordination/DispatchTypes.h"
#include "coordination/Placement.h"
#include "coordination/RemoteEntries.h"
#include "coordination/RetryBudget.h"
#include "coordination/RouteEstimator.h"
#include "coordination/SaturationEstimator.h"
#include "coordination/ServiceQueue.h"
#include "coordination/TargetFinder.h"
#include "state/Topology.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

class RandomSource;

/// Bounds that hold for all entries of a fleet together. Value type.
struct DispatchLimits {
  RetryBudgetLimits Retries;
  ColdStartLimits ColdStart;

  auto operator<=>(const DispatchLimits &) const = default;
};

/// Decides where each request of this entry goes, when it is repeated, and when it is refused.
///
/// A request looks for a target by probing a few just before it is sent: first in the own failure
/// domain, then in the region, then among targets that are cold or call themselves unwell. It takes
/// the first that is good, or else the best. If another region would serve it better, an entry
/// there gets it, whose probes are fresher than those from here. If no target has room, it waits at
/// this entry. Requests that may run more than once are sent again when a target failed, or when
/// the answer takes longer than usual; all others only if the first target did not run them.
///
/// Performs no I/O, reads no clock: events come in as calls, decisions go out as effects. Times
/// must not decrease. Not thread-safe.
class Dispatcher {
public:
  /// Precondition: the random source outlives the dispatcher. `Self` is this entry's name among the
  /// live entries.
  Dispatcher(Topology Places, const DispatchLimits &Terms, std::string Self, RandomSource &Random);

  TargetTable &targets() { return this->Finder.targets(); }
  const TargetTable &targets() const { return this->Finder.targets(); }
  void setServices(std::map<ServiceName, Service> Known) {
    this->Finder.setServices(std::move(Known));
  }
  /// Names of the live entries of this region with this one, and the number of entries in all.
  void setEntries(std::vector<std::string> Region, std::size_t Total);
  /// Ready entries of other regions, to which requests may be passed on.
  void setRemoteEntries(RemoteEntries::EntriesByRegion Ready) {
    this->Remote.setReadyEntries(std::move(Ready));
  }

  /// Precondition: the number is new.
  void onRequest(RequestNumber Number, RequestAttributes Terms, TimePoint Now);
  /// The caller left; its attempts are cancelled and the request is forgotten.
  void onCallerDisconnected(RequestNumber Number, TimePoint Now);
  void onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now);
  void onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now);
  /// Unknown requests and attempts are ignored.
  void onAttemptEnd(RequestNumber Number, AttemptNumber Attempt, const AttemptResult &End,
                    TimePoint Now);
  /// The answer of an attempt begins to go to the caller before it is complete. Cancels the others;
  /// the request is forgotten.
  void onResponseCommitted(RequestNumber Number, AttemptNumber Attempt, TimePoint Now);
  void onTick(TimePoint Now);
  /// Time of the next onTick() that has something to do.
  std::optional<TimePoint> nextWakeup() const;

  /// Decisions since the last call, in their order.
  std::vector<Effect> takeEffects() { return std::exchange(this->Effects, {}); }

  std::size_t requestCount() const { return this->Requests.size(); }
  std::size_t queueLength() const;

private:
  RouteEstimator::Expected expected(const DispatchRequest &Current, TimePoint Now) const;
  SearchSubject subject(const DispatchRequest &Current, TimePoint Now) const;
  void onForwardFailed(const DispatchRequest &Current, DispatchAttempt &Ended,
                       AttemptOutcome Outcome, TimePoint Now);
  void learn(const DispatchRequest &Current, const DispatchAttempt &Ended, const AttemptResult &End,
             TimePoint Now);
  void startSearch(RequestNumber Number, bool IsHedge, TimePoint Now);
  void endSearch(DispatchRequest &Current);
  /// Adds the targets of the next stage up to `Last` that has any; false if there is none.
  bool addStage(DispatchRequest &Current, SearchStage Last, TimePoint Now);
  void evaluate(RequestNumber Number, TimePoint Now);
  bool tryAccept(RequestNumber Number, const PlacementChoice &Choice, std::size_t Candidates,
                 TimePoint Now);
  /// Passes the request on to another region if it is better served there.
  bool tryForward(RequestNumber Number, TimePoint Now);
  void onSearchFailed(RequestNumber Number, TimePoint Now);
  void send(RequestNumber Number, TargetState &View, const PlacementChoice &Choice,
            PlacementDetails Note, TimePoint Now);
  void onHedgeDue(RequestNumber Number, TimePoint Now);

  /// `IsBack` tells that the request waited before its search.
  void enqueue(RequestNumber Number, bool IsBack, TimePoint Now);
  void runQueue(const ServiceName &Service, TimePoint Now);
  /// Sends the first of the queue to a target that has just answered, if it has room.
  void handOver(const ServiceName &Service, const TargetName &Name, TimePoint Now);
  /// Takes the first request off the queue for a search; nothing if none is to be searched for now.
  std::optional<RequestNumber> takeFirst(ServiceQueue &Queue, TimePoint Now);
  /// Refuses requests at the end of the queue whose time will be over before their turn.
  void refuseHopeless(DispatchQueue &Queue, TimePoint Now);
  bool canRepeat(const DispatchRequest &Current, TimePoint Now);
  void onFailedAttempt(RequestNumber Number, TimePoint Now);
  void finishWithoutTarget(RequestNumber Number, const std::string &Reason, TimePoint Now);
  void deliver(RequestNumber Number, AttemptNumber Attempt, TimePoint Now);
  void refuse(RequestNumber Number, RefusalKind Kind, std::string Reason, Duration RetryAfter,
              TimePoint Now);
  void forget(RequestNumber Number, std::optional<AttemptNumber> Kept, TimePoint Now);
  Duration retryAfter(const DispatchRequest &Current, TimePoint Now);
  void updateTimer(RequestNumber Number, DispatchRequest &Current);
  void onRequestTimer(RequestNumber Number, TimePoint Now);
  void wakeSearches(const TargetName &Name, TimePoint Now);

  TargetFinder Finder;
  RemoteEntries Remote;
  RetryBudget Retries;
  RouteEstimator Estimates;
  SaturationEstimator Fullness;
  RandomSource &Random;
  std::map<ServiceName, ServiceQueue> Queues;
  std::map<RequestNumber, DispatchRequest> Requests;
  std::set<std::pair<TimePoint, RequestNumber>> Timers;
  std::vector<Effect> Effects;
};

} // namespace anvilsaddle
