#pragma once

#include "coordination/dispatch/DispatchState.h"
#include "coordination/dispatch/Placement.h"

#include <cstddef>

namespace anvilsaddle {

class RequestCompletion;
class RequestQueueing;

/// Searches a target for each request and sends the request to it, forwards it to another region,
/// or queues it.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class RequestSearches {
public:
  /// Precondition: the arguments outlive the object.
  RequestSearches(DispatchState &State, RequestCompletion &Completion, RequestQueueing &Queueing)
      : State(State), Completion(Completion), Queueing(Queueing) {}

  /// Precondition: the request is open and has no search.
  void startSearch(RequestNumber Number, bool IsHedge, TimePoint Now);
  /// Continues a search after new reports or at the end of its stage. Precondition: the request is
  /// open and has a search.
  void advanceSearch(RequestNumber Number, TimePoint Now);
  /// Continues the searches that have the target among their candidates.
  void resumeSearches(const TargetName &Name, TimePoint Now);
  /// Starts a search for the first queued request, if one may start now.
  void startSearchForQueued(const ServiceName &Service, TimePoint Now);
  /// Sends the first queued request to a target that has just responded, if the target has free
  /// capacity.
  void dispatchToFreedSlot(const ServiceName &Service, const TargetName &Name, TimePoint Now);
  /// Starts the search for a hedge if one is allowed. Precondition: the request is open.
  void onHedgeDue(RequestNumber Number, TimePoint Now);
  /// True if the request may be sent once more and has the time for it.
  bool canRetry(const DispatchRequest &Request, TimePoint Now);

private:
  SearchContext searchContext(const DispatchRequest &Request, TimePoint Now) const;
  /// Adds the targets of the next stage that has any, up to `LastStage`. Returns false if there is
  /// none.
  bool addNextStage(DispatchRequest &Request, SearchStage LastStage, TimePoint Now);
  /// Decides whether the request takes a slot that is otherwise left idle, to learn how much slower
  /// the target becomes.
  bool tryExplore(const DispatchRequest &Request, const PlacementChoice &Choice, TimePoint Now);
  /// Decides whether a request that is not idempotent starts at the target. Precondition: as of
  /// trySend().
  bool admitRun(DispatchRequest &Request, const PlacementChoice &Choice, TimePoint Now);
  bool trySend(RequestNumber Number, const PlacementChoice &Choice, std::size_t CandidateCount,
               TimePoint Now);
  /// Forwards the request to another region if it is served better there.
  bool tryForward(RequestNumber Number, TimePoint Now);
  void onSearchFailed(RequestNumber Number, TimePoint Now);
  std::optional<TimePoint> hedgeTime(const DispatchRequest &Request, Duration ExpectedTime,
                                     TimePoint Now) const;
  /// True if the search looks for the target of a hedge and operators set a limit on hedges.
  /// Precondition: the request has a search.
  bool isLimitedHedge(const DispatchRequest &Request) const;
  /// Returns why no hedge may be sent now, whatever the targets report.
  std::optional<HedgeObstacle> hedgeObstacle(const DispatchRequest &Request, TimePoint Now);
  /// Counts and logs the first time that a hedge of the request was due and was not sent.
  void withholdHedge(RequestNumber Number, HedgeObstacle Obstacle, TimePoint Now);
  void send(RequestNumber Number, TargetState &Selected, const PlacementChoice &Choice,
            PlacementDetails Details, TimePoint Now);

  DispatchState &State;
  RequestCompletion &Completion;
  RequestQueueing &Queueing;
};

} // namespace anvilsaddle
