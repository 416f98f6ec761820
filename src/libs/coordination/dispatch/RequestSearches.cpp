#include "coordination/dispatch/RequestSearches.h"

#include "coordination/RandomSource.h"
#include "coordination/dispatch/RequestCompletion.h"
#include "coordination/dispatch/RequestQueueing.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// A target whose slot has just become free gets the next queued request if its expected cost is at
/// most this many times the usual processing time.
constexpr double FreedSlotMaxCostFactor = 2;
/// Fraction of the freed slots that are left to other entries, so that an entry without running
/// requests finds free slots.
constexpr double ReleasedSlotFraction = 0.25;
/// The same while all queued requests miss their objective. Requests of other entries that can
/// still meet theirs then find the freed slots.
constexpr double LateReleasedSlotFraction = 0.9;
/// Fraction of the searches in which a request that misses its objective may take the last usable
/// slot of a target. In the others it leaves the slot to requests that can still meet theirs.
constexpr double LateLastSlotFraction = 0.2;
constexpr Duration HedgeRecheckInterval = 60ms;
/// Fraction of the requests to send although no target is expected to complete them in time.
/// Without any run the entry would never learn that targets report too high slowdowns.
constexpr double ExploredRefusalFraction = 0.05;

} // namespace

SearchContext RequestSearches::searchContext(const DispatchRequest &Request, TimePoint Now) const {
  return {Request.Attributes, Request.usedTargetNames(),
          this->State.Estimates.estimate(Request.Attributes, Now)};
}

void RequestSearches::startSearch(RequestNumber Number, bool IsHedge, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  Request.Search = TargetSearch{SearchStage::Domain, IsHedge, false, Now, Now, {}};
  const Duration ProcessingTime =
      this->State.Estimates.estimate(Request.Attributes, Now).ProcessingTime;
  const bool MissesObjective =
      Request.Attributes.ReceivedAt + Request.Attributes.Objective < Now + ProcessingTime;
  Request.Search->LeavesLastSlot =
      MissesObjective && this->State.Random.uniform() >= LateLastSlotFraction;
  this->advanceSearch(Number, Now);
}

bool RequestSearches::addNextStage(DispatchRequest &Request, SearchStage LastStage, TimePoint Now) {
  const auto Probes = this->State.Finder.addNextStage(
      *Request.Search, this->searchContext(Request, Now), LastStage, Now);
  if (!Probes) {
    return false;
  }
  this->State.Effects.insert(this->State.Effects.end(), Probes->begin(), Probes->end());
  return true;
}

void RequestSearches::advanceSearch(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  const ProcessingTimeEstimator::Estimate Estimate =
      this->State.Estimates.estimate(Request.Attributes, Now);
  while (true) {
    std::vector<PlacementCandidate> Reported =
        this->State.Finder.reportedCandidates(*Request.Search, true, Now);
    auto Best = placement::chooseBest(Reported, Estimate, this->State.Random.uniform());
    const bool IsYielded = Best && Request.Search->LeavesLastSlot && Best->UsableSlotsLeft == 0;
    const bool IsLimitedHedge = this->isLimitedHedge(Request);
    const bool IsWorthwhile =
        !IsLimitedHedge || (Best && this->State.Hedges.isWorthwhile(Request, *Best, Now));
    if (Best && !IsYielded && IsWorthwhile && placement::isGoodEnough(*Best, Estimate) &&
        this->trySend(Number, *Best, Reported.size(), Now)) {
      return;
    }
    const TargetSearch &Search = *Request.Search;
    if (this->State.Finder.isAwaitingReports(Search, Now)) {
      this->State.updateTimer(Number, Request);
      return;
    }
    if (IsLimitedHedge) {
      // Targets that are cold, unhealthy or in another region are rarely sooner.
      if (this->addNextStage(Request, SearchStage::WiderRegion, Now)) {
        continue;
      }
      this->onSearchFailed(Number, Now);
      return;
    }
    if (Search.LeavesLastSlot && Best) {
      // Where there is no overload, nearly every target has more than one usable slot left.
      this->onSearchFailed(Number, Now);
      return;
    }
    if (this->addNextStage(Request, SearchStage::Fallback, Now)) {
      continue;
    }
    if (Search.NextStage == SearchStage::Remote && this->tryForward(Number, Now)) {
      return;
    }
    if (this->addNextStage(Request, SearchStage::Remote, Now)) {
      continue;
    }
    if (Best && !Best->HasCapacity && this->tryExplore(Request, *Best, Now) &&
        this->trySend(Number, *Best, Reported.size(), Now)) {
      return;
    }
    if (!Best || !Best->HasCapacity) {
      Reported = this->State.Finder.reportedCandidates(Search, false, Now);
      Best = placement::chooseBest(Reported, Estimate, this->State.Random.uniform());
    }
    const bool MaySendToBest = Best && Best->HasCapacity && !Search.IsHedge;
    if (!MaySendToBest || !this->trySend(Number, *Best, Reported.size(), Now)) {
      this->onSearchFailed(Number, Now);
    }
    return;
  }
}

bool RequestSearches::tryExplore(const DispatchRequest &Request, const PlacementChoice &Choice,
                                 TimePoint Now) {
  return !Request.Search->IsHedge && Choice.Occupancy &&
         this->State.Estimates.saturation().tryExplore(
             Request.Attributes.Service, *Choice.Occupancy, this->State.Random.uniform(), Now);
}

bool RequestSearches::admitRun(DispatchRequest &Request, const PlacementChoice &Choice,
                               TimePoint Now) {
  const RequestAttributes &Attributes = Request.Attributes;
  Request.Refused.reset();
  if (Attributes.Idempotent) {
    return true;
  }
  const RunAdmission Admission =
      decideRun(Attributes, Choice, this->State.Estimates.estimate(Attributes, Now).ProcessingTime,
                this->State.Queues[Attributes.Service].Slowdowns.fastest(Now), Now);
  switch (Admission.Decision) {
  case RunDecision::Send:
    return true;
  case RunDecision::WaitForBetter:
    ++Request.DeferralCount;
    ++this->State.Counters.RunsDeferred;
    return false;
  case RunDecision::Refuse:
    if (Choice.HasCapacity && this->State.Random.uniform() < ExploredRefusalFraction) {
      ++this->State.Counters.RunsExplored;
      return true;
    }
    Request.Refused = Admission;
    return false;
  }
  return true;
}

bool RequestSearches::trySend(RequestNumber Number, const PlacementChoice &Choice,
                              std::size_t CandidateCount, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  TargetState *Selected = this->State.targets().find(Request.Search->Candidates[Choice.Index]);
  if (!Selected || !this->State.targets().isUsable(Selected->Registration.Name) ||
      Now >= Request.Attributes.Deadline) {
    return false;
  }
  if (!this->admitRun(Request, Choice, Now)) {
    return false;
  }
  PlacementDetails Details{*Selected->Load, Now - Selected->LoadTime, Choice.Cost, CandidateCount,
                           Request.Search->IsHedge};
  Details.ExpectedTime = Choice.ExpectedTime;
  Details.TimeIfSlowdownLasts = Choice.TimeIfSlowdownLasts;
  Details.TimeLeft = Request.Attributes.Deadline - Now;
  Details.DeferralCount = Request.DeferralCount;
  Details.RejectRate = TargetTable::rejectRate(*Selected, Now);
  if (this->isLimitedHedge(Request)) {
    if (!this->State.Hedges.canAcquire() ||
        !this->State.Retries.tryAcquireHedge(Request.Attributes.Service, Now)) {
      return false;
    }
    Details.Hedge = this->State.Hedges.inputs(Request, Now);
    this->State.Hedges.acquire();
    Request.HedgeAttempt = static_cast<AttemptNumber>(Request.Attempts.size());
  } else if (!Request.Attempts.empty() &&
             !this->State.Retries.tryAcquire(Request.Attributes.Service, Now)) {
    return false;
  }
  this->Completion.endSearch(Request);
  this->send(Number, *Selected, Choice, Details, Now);
  return true;
}

void RequestSearches::send(RequestNumber Number, TargetState &Selected,
                           const PlacementChoice &Choice, PlacementDetails Details, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  const TargetName Name = Selected.Registration.Name;
  this->State.Finder.onSent(Name, Now);
  const auto Attempt = static_cast<AttemptNumber>(Request.Attempts.size());
  if (Request.Attempts.empty()) {
    this->State.Retries.onRequest(Request.Attributes.Service, Now);
  }
  DispatchAttempt Attempted;
  Attempted.Target = Name;
  Attempted.Address = Selected.Registration.Address;
  Attempted.SentAt = Now;
  Attempted.Slowdown = Details.Load.Slowdown;
  Attempted.ExpectedTime = Details.ExpectedCost;
  Attempted.Occupancy = Choice.Occupancy;
  Request.Attempts.push_back(std::move(Attempted));
  const Duration ProcessingTime =
      this->State.Estimates.estimate(Request.Attributes, Now).ProcessingTime;
  Request.HedgeAt = this->hedgeTime(Request, Details.ExpectedCost, Now);
  this->State.updateTimer(Number, Request);
  const ServiceName Service = Request.Attributes.Service;
  ServiceQueue &Queue = this->State.Queues[Service];
  if (const auto QueuedAt = std::exchange(Request.QueuedAt, std::nullopt)) {
    Queue.Shortage.onLeft(*QueuedAt, true, Now);
  }
  Queue.onDispatched(Request.Attributes, ProcessingTime, Now);
  this->State.Effects.emplace_back(
      SendAttempt{Number, Attempt, Name, Selected.Registration.Address, Request.Attributes.Deadline,
                  Request.Attributes.Idempotent, Details, std::nullopt});
  // The same load reports may show free capacity for the next queued request.
  this->startSearchForQueued(Service, Now);
}

bool RequestSearches::tryForward(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  const RequestAttributes &Attributes = Request.Attributes;
  if (Attributes.CameFromOtherEntry || Request.WasSentToOtherEntry || Request.hasRunningAttempt()) {
    return false;
  }
  const SearchContext Context = this->searchContext(Request, Now);
  const Duration AddedCost = placement::costOfOtherRegion(Context.Estimate.ResponseBytes);
  if (!this->State.Finder.shouldTryRemote(*Request.Search, Context, AddedCost, Now)) {
    return false;
  }
  const auto Entry = this->State.EntriesOfOtherRegions.choose(
      this->State.Finder.remoteRegions(Context, Now), Attributes.Service,
      this->State.Random.uniform(), Now);
  if (!Entry ||
      (!Request.Attempts.empty() && !this->State.Retries.tryAcquire(Attributes.Service, Now))) {
    return false;
  }
  this->Completion.endSearch(Request);
  if (!Request.Attempts.empty()) {
    this->State.Retries.onRequestMoved(Attributes.Service);
  }
  Request.WasSentToOtherEntry = true;
  const std::uint32_t TargetsLeft = Attributes.MaxTargets - Request.usedTargetCount();
  ForwardOptions Forward;
  // Keeps one target in reserve for the case that the other region does not respond.
  Forward.MaxTargets = Attributes.Idempotent && TargetsLeft > 1 ? TargetsLeft - 1 : TargetsLeft;
  Forward.MayQueue = !this->State.Finder.hasLocalTargets(Context, Now);
  Forward.Elapsed = Now - Attributes.ReceivedAt;
  Forward.Service = Attributes.Service;
  const auto Attempt = static_cast<AttemptNumber>(Request.Attempts.size());
  const TargetName Name(Entry->Address);
  DispatchAttempt Attempted;
  Attempted.Target = Name;
  Attempted.Address = *Entry;
  Attempted.SentAt = Now;
  Attempted.IsForwarded = true;
  Attempted.MaxTargets = Forward.MaxTargets;
  Request.Attempts.push_back(std::move(Attempted));
  PlacementDetails Details;
  Details.ExpectedCost = AddedCost + Context.Estimate.ProcessingTime;
  Request.HedgeAt = this->hedgeTime(Request, Details.ExpectedCost, Now);
  this->State.updateTimer(Number, Request);
  this->State.Effects.emplace_back(SendAttempt{Number, Attempt, Name, *Entry, Attributes.Deadline,
                                               Attributes.Idempotent, Details, Forward});
  return true;
}

void RequestSearches::onSearchFailed(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  const bool IsHedge = Request.Search && Request.Search->IsHedge;
  const bool IsFromQueue = Request.IsFromQueue;
  this->Completion.endSearch(Request);
  if (IsFromQueue) {
    ServiceQueue &Queue = this->State.Queues[Request.Attributes.Service];
    Queue.onSearchFailed();
  }
  if (IsHedge && Request.hasRunningAttempt()) {
    if (this->State.Hedges.isLimited()) {
      this->withholdHedge(Number,
                          this->hedgeObstacle(Request, Now).value_or(HedgeObstacle::NoTarget), Now);
    }
    Request.HedgeAt = Now + HedgeRecheckInterval;
    this->State.updateTimer(Number, Request);
    return;
  }
  this->Queueing.enqueue(Number, IsFromQueue, Now);
}

void RequestSearches::onHedgeDue(RequestNumber Number, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  Request.HedgeAt.reset();
  if (Request.Search || Request.IsFromQueue || !Request.hasRunningAttempt()) {
    return;
  }
  if (this->State.Hedges.isLimited()) {
    if (const auto Obstacle = this->hedgeObstacle(Request, Now)) {
      this->withholdHedge(Number, *Obstacle, Now);
      Request.HedgeAt = Now + HedgeRecheckInterval;
      return;
    }
  }
  if (!this->canRetry(Request, Now)) {
    Request.HedgeAt = Now + HedgeRecheckInterval;
    return;
  }
  this->startSearch(Number, true, Now);
}

std::optional<TimePoint> RequestSearches::hedgeTime(const DispatchRequest &Request,
                                                    Duration ExpectedTime, TimePoint Now) const {
  const Duration ProcessingTime =
      this->State.Estimates.estimate(Request.Attributes, Now).ProcessingTime;
  return this->State.Hedges.isLimited()
             ? this->State.Hedges.hedgeTime(Request, ProcessingTime, ExpectedTime, Now)
             : Request.hedgeTime(ProcessingTime, ExpectedTime, Now);
}

bool RequestSearches::isLimitedHedge(const DispatchRequest &Request) const {
  return this->State.Hedges.isLimited() && Request.Search->IsHedge && Request.hasRunningAttempt();
}

std::optional<HedgeObstacle> RequestSearches::hedgeObstacle(const DispatchRequest &Request,
                                                            TimePoint Now) {
  const ServiceName &Service = Request.Attributes.Service;
  if (!this->State.Queues[Service].Requests.empty()) {
    return HedgeObstacle::Queue;
  }
  if (!this->State.Hedges.canAcquire()) {
    return HedgeObstacle::HedgeBudget;
  }
  if (!this->State.Retries.canAcquireHedge(Service, Now)) {
    return HedgeObstacle::RetryBudget;
  }
  return std::nullopt;
}

void RequestSearches::withholdHedge(RequestNumber Number, HedgeObstacle Obstacle, TimePoint Now) {
  DispatchRequest &Request = this->State.Requests.at(Number);
  if (std::exchange(Request.WasHedgeWithheld, true)) {
    return;
  }
  this->State.Hedges.onWithheld(Obstacle);
  this->State.Effects.emplace_back(
      HedgeWithheld{Number, Obstacle, this->State.Hedges.inputs(Request, Now)});
}

void RequestSearches::startSearchForQueued(const ServiceName &Service, TimePoint Now) {
  ServiceQueue &Queue = this->State.Queues[Service];
  if (Queue.Requests.empty()) {
    return;
  }
  Queue.scheduleSearch(this->State.Random.uniform(), Now);
  if (const auto First = this->Queueing.dequeueForSearch(Queue, Now)) {
    this->startSearch(*First, false, Now);
  }
}

void RequestSearches::dispatchToFreedSlot(const ServiceName &Service, const TargetName &Name,
                                          TimePoint Now) {
  ServiceQueue &Queue = this->State.Queues[Service];
  const double ReleasedFraction =
      Queue.Requests.allMissObjective(Now) ? LateReleasedSlotFraction : ReleasedSlotFraction;
  if (Queue.Requests.empty() || this->State.Random.uniform() < ReleasedFraction) {
    return;
  }
  const auto First = this->Queueing.dequeueForSearch(Queue, Now);
  if (!First) {
    return;
  }
  DispatchRequest &Request = this->State.Requests.at(*First);
  Request.Search = TargetSearch{SearchStage::Domain, false, false, Now, Now, {}};
  const SearchContext Context = this->searchContext(Request, Now);
  if (this->State.Finder.addReportedTarget(*Request.Search, Context, Name, Now)) {
    const auto Reported = this->State.Finder.reportedCandidates(*Request.Search, true, Now);
    const auto Choice = placement::chooseBest(Reported, Context.Estimate, 0);
    if (Choice && Choice->QueuedAhead == 0 &&
        Choice->Cost <= Context.Estimate.ProcessingTime * FreedSlotMaxCostFactor &&
        this->trySend(*First, *Choice, Reported.size(), Now)) {
      return;
    }
  }
  this->Completion.endSearch(Request);
  this->Queueing.enqueue(*First, true, Now);
}

bool RequestSearches::canRetry(const DispatchRequest &Request, TimePoint Now) {
  const Duration MinProcessingTime = this->State.minProcessingTime(Request.Attributes, Now);
  return Request.mayRetry() && Now + MinProcessingTime < Request.Attributes.Deadline &&
         this->State.Retries.canAcquire(Request.Attributes.Service, Now);
}

void RequestSearches::resumeSearches(const TargetName &Name, TimePoint Now) {
  std::vector<RequestNumber> Affected;
  for (const auto &[Number, Each] : this->State.Requests) {
    if (Each.Search && std::find(Each.Search->Candidates.begin(), Each.Search->Candidates.end(),
                                 Name) != Each.Search->Candidates.end()) {
      Affected.push_back(Number);
    }
  }
  for (const RequestNumber Number : Affected) {
    const auto Found = this->State.Requests.find(Number);
    if (Found != this->State.Requests.end() && Found->second.Search) {
      this->advanceSearch(Number, Now);
    }
  }
}

} // namespace anvilsaddle
