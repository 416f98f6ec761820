#include "coordination/Dispatcher.h"

#include "coordination/RandomSource.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// A report up to this age is as good as a new probe: shorter than a probe's round trip between
/// failure domains.
constexpr Duration FreshReport = 4ms;
/// Longest wait for the reports of a stage. A target or this entry may have used up its share of a
/// processor for most of a tenth of a second.
constexpr Duration StageWait = 90ms;
/// The same for targets of other regions, whose round trip takes 60 ms and a connection as long.
constexpr Duration RemoteStageWait = 200ms;
/// A probe without an answer after this time is sent again.
constexpr Duration ProbeForgotten = 400ms;
/// Targets probed at once in each stage.
constexpr std::size_t StageTargets = 3;
constexpr std::size_t ReserveTargets = 2;
/// Requests that may wait at a target beyond its slots. A few bridge the time between a freed slot
/// and the next search; more would be beyond the reach of priorities.
constexpr std::uint32_t MaxAhead = 2;
/// Mean time between searches while all targets are full: a part of the time after which a slot
/// becomes free.
constexpr Duration SearchInterval = 15ms;
constexpr std::uint32_t MaxQueueSearches = 2;
/// A round trip to another region, twice: for the probe and for the request.
constexpr Duration RemoteDetour = 120ms;
/// A request that has less than this part of the usual work left can't be served.
constexpr double LeastWorkPart = 0.5;
/// An answer that takes longer than this many times the usual or expected time is hedged.
constexpr double HedgeWorkFactor = 1.5;
constexpr double HedgeExpectedFactor = 1.25;
/// A hedge must start this many times the usual work before the objective to meet it.
constexpr double HedgeReserve = 1.15;
constexpr Duration HedgeAgain = 60ms;
constexpr Duration ShortestRetryAfter = 50ms;
constexpr Duration LongestRetryAfter = 2s;

Duration scaled(Duration Value, double Factor) {
  return Duration(std::llround(static_cast<double>(Value.count()) * Factor));
}

} // namespace

Dispatcher::Dispatcher(Topology Places, const DispatchTerms &Terms, std::string Self,
                       RandomSource &Random)
    : Places(std::move(Places)), Repeats(Terms.Repeats),
      ColdStart(Terms.ColdStart, std::move(Self)), Random(Random) {}

void Dispatcher::setEntries(std::vector<std::string> Region, std::size_t Total) {
  this->ColdStart.setEntries(std::move(Region));
  this->Repeats.setEntryCount(std::max<std::size_t>(1, Total));
}

std::size_t Dispatcher::queueLength() const {
  std::size_t Result = 0;
  for (const auto &[Name, State] : this->States) {
    Result += State.Queue.size();
  }
  return Result;
}

WorkEstimate::Expected Dispatcher::expected(const Request &Current) const {
  return this->Estimates.expected(Current.Terms.Route, Current.Terms.Objective);
}

void Dispatcher::onRequest(RequestNumber Number, RequestTerms Terms, TimePoint Now) {
  this->Repeats.onRequest(Terms.Service, Now);
  Request &Current = this->Requests[Number];
  Current.Terms = std::move(Terms);
  this->updateTimer(Number, Current);
  ServiceState &State = this->States[Current.Terms.Service];
  if (!State.Queue.empty()) {
    this->enqueue(Number, Now);
    return;
  }
  this->startSearch(Number, false, Now);
}

void Dispatcher::onCallerGone(RequestNumber Number, TimePoint Now) {
  if (this->Requests.contains(Number)) {
    this->forget(Number, std::nullopt, Now);
  }
}

// Searches

void Dispatcher::startSearch(RequestNumber Number, bool IsHedge, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  Current.Looking = Search{Stage::Domain, IsHedge, Now, Now, {}};
  if (!this->addStage(Current, Now)) {
    this->onSearchFailed(Number, Now);
    return;
  }
  this->evaluate(Number, Now);
}

void Dispatcher::endSearch(Request &Current) {
  Current.Looking.reset();
  if (std::exchange(Current.Queued, false)) {
    ServiceState &State = this->States[Current.Terms.Service];
    State.Searches -= State.Searches > 0 ? 1 : 0;
  }
}

bool Dispatcher::belongsTo(const TargetView &View, const Request &Current, Stage Which,
                           TimePoint Now) const {
  const RegionName Region = this->Places.regionOf(View.Record.Domain);
  const std::set<RegionName> &Home = Current.Terms.HomeRegions;
  if (Region.empty() || (!Home.empty() && !Home.contains(Region)) || Now < View.AvoidUntil) {
    return false;
  }
  const bool IsUsed =
      std::any_of(Current.Attempts.begin(), Current.Attempts.end(),
                  [&View](const Attempt &Each) { return Each.Target == View.Record.Name; });
  if (IsUsed) {
    return false;
  }
  const Distance Place = this->Places.distanceTo(View.Record.Domain);
  const bool IsRegular = View.Healthy && !View.isCold(Now);
  switch (Which) {
  case Stage::Domain:
    return IsRegular && Place == Distance::SameDomain;
  case Stage::Region:
    return IsRegular && Place == Distance::SameRegion;
  case Stage::Reserve:
    return !IsRegular && Place != Distance::OtherRegion;
  case Stage::Remote:
    return IsRegular && Place == Distance::OtherRegion;
  case Stage::End:
    return false;
  }
  return false;
}

std::vector<TargetName> Dispatcher::stageTargets(const Request &Current, Stage Which,
                                                 TimePoint Now) {
  std::vector<TargetName> Result;
  for (const TargetView *Each : this->Targets.usable(Current.Terms.Service)) {
    if (this->belongsTo(*Each, Current, Which, Now)) {
      Result.push_back(Each->Record.Name);
    }
  }
  const bool IsReserve = Which == Stage::Reserve || Which == Stage::Remote;
  const std::size_t Count = std::min(Result.size(), IsReserve ? ReserveTargets : StageTargets);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto Left = static_cast<double>(Result.size() - Index);
    std::swap(Result[Index],
              Result[Index + static_cast<std::size_t>(this->Random.uniform() * Left)]);
  }
  Result.resize(Count);
  return Result;
}

bool Dispatcher::wantsRemote(const Request &Current, TimePoint Now) const {
  const std::vector<PlacementCandidate> Known = this->answered(Current, true, Now);
  if (Known.empty()) {
    return true;
  }
  const WorkEstimate::Expected Work = this->expected(Current);
  const auto Best = placement::choose(Known, Work, 0);
  const Duration Left = Current.Terms.Received + Current.Terms.Objective - Now;
  const bool MeetsObjective = Best->Cost <= Left && Best->Ahead <= MaxAhead;
  return !MeetsObjective && RemoteDetour + Work.Work <= Left;
}

bool Dispatcher::addStage(Request &Current, TimePoint Now) {
  Search &Looking = *Current.Looking;
  while (Looking.Next != Stage::End) {
    const Stage Which = Looking.Next;
    Looking.Next = static_cast<Stage>(static_cast<int>(Which) + 1);
    if (Which == Stage::Remote && !this->wantsRemote(Current, Now)) {
      continue;
    }
    const std::vector<TargetName> Added = this->stageTargets(Current, Which, Now);
    if (Added.empty()) {
      continue;
    }
    Looking.StageEnds = Now + (Which == Stage::Remote ? RemoteStageWait : StageWait);
    for (const TargetName &Each : Added) {
      Looking.Candidates.push_back(Each);
      this->probe(*this->Targets.find(Each), Now);
    }
    return true;
  }
  return false;
}

void Dispatcher::probe(TargetView &View, TimePoint Now) {
  const bool IsFresh = View.Load && Now - View.LoadTime <= FreshReport;
  const auto Running = this->Probes.find(View.Record.Name);
  const bool IsRunning = Running != this->Probes.end() && Now - Running->second < ProbeForgotten;
  if (IsFresh || IsRunning) {
    return;
  }
  this->Probes[View.Record.Name] = Now;
  const auto Known = this->Services.find(View.Record.Service);
  const std::string Path = Known == this->Services.end() ? "/" : Known->second.HealthPath;
  this->Effects.emplace_back(ProbeTarget{View.Record.Name, View.Record.Address, Path});
}

bool Dispatcher::isPending(const TargetName &Name, const Search &Looking) const {
  const auto Probe = this->Probes.find(Name);
  const auto View = this->Targets.all().find(Name);
  if (View == this->Targets.all().end()) {
    return false;
  }
  const bool IsReported =
      View->second.Load && View->second.LoadTime + FreshReport >= Looking.Started;
  return Probe != this->Probes.end() && !IsReported;
}

bool Dispatcher::mayWarmUp(const TargetView &View, TimePoint Now) const {
  const auto Known = this->Services.find(View.Record.Service);
  const double Rate = Known == this->Services.end() ? 0 : Known->second.ColdRate;
  return this->ColdStart.isOpen(View.Record.Name, Rate, Now);
}

std::optional<PlacementCandidate> Dispatcher::asCandidate(const Search &Looking, std::size_t Index,
                                                          bool Regular, TimePoint Now) const {
  const auto Found = this->Targets.all().find(Looking.Candidates[Index]);
  if (Found == this->Targets.all().end() || !this->Targets.isUsable(Found->first)) {
    return std::nullopt;
  }
  const TargetView &View = Found->second;
  const bool IsReported = View.Load && View.LoadTime + FreshReport >= Looking.Started;
  const bool IsRegular = View.Healthy && !View.isCold(Now);
  if (!IsReported || Now < View.AvoidUntil || IsRegular != Regular ||
      (View.isCold(Now) && !this->mayWarmUp(View, Now))) {
    return std::nullopt;
  }
  return PlacementCandidate{Index, this->Places.distanceTo(View.Record.Domain), *View.Load,
                            View.SentSinceLoad, TargetTable::failures(View, Now)};
}

std::vector<PlacementCandidate> Dispatcher::answered(const Request &Current, bool Regular,
                                                     TimePoint Now) const {
  std::vector<PlacementCandidate> Result;
  const Search &Looking = *Current.Looking;
  for (std::size_t Index = 0; Index < Looking.Candidates.size(); ++Index) {
    if (const auto Candidate = this->asCandidate(Looking, Index, Regular, Now)) {
      Result.push_back(*Candidate);
    }
  }
  return Result;
}

void Dispatcher::evaluate(RequestNumber Number, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  const WorkEstimate::Expected Work = this->expected(Current);
  while (true) {
    std::vector<PlacementCandidate> Known = this->answered(Current, true, Now);
    auto Best = placement::choose(Known, Work, this->Random.uniform());
    if (Best && placement::isGood(*Best, Work) &&
        this->tryAccept(Number, *Best, Known.size(), Now)) {
      return;
    }
    const Search &Looking = *Current.Looking;
    const bool Waits =
        Now < Looking.StageEnds && std::any_of(Looking.Candidates.begin(), Looking.Candidates.end(),
                                               [this, &Looking](const TargetName &Each) {
                                                 return this->isPending(Each, Looking);
                                               });
    if (Waits) {
      this->updateTimer(Number, Current);
      return;
    }
    if (this->addStage(Current, Now)) {
      continue;
    }
    if (!Best || Best->Ahead > MaxAhead) {
      Known = this->answered(Current, false, Now);
      Best = placement::choose(Known, Work, this->Random.uniform());
    }
    const bool HasRoom = Best && Best->Ahead <= MaxAhead && !Looking.IsHedge;
    if (!HasRoom || !this->tryAccept(Number, *Best, Known.size(), Now)) {
      this->onSearchFailed(Number, Now);
    }
    return;
  }
}

bool Dispatcher::tryAccept(RequestNumber Number, const PlacementChoice &Choice,
                           std::size_t Candidates, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  TargetView *View = this->Targets.find(Current.Looking->Candidates[Choice.Index]);
  if (!View || !this->Targets.isUsable(View->Record.Name) || Now >= Current.Terms.Deadline) {
    return false;
  }
  if (!Current.Attempts.empty() && !this->Repeats.tryTake(Current.Terms.Service, Now)) {
    return false;
  }
  const bool IsHedge = Current.Looking->IsHedge;
  this->endSearch(Current);
  this->send(Number, *View, {*View->Load, Now - View->LoadTime, Choice.Cost, Candidates, IsHedge},
             Now);
  return true;
}

void Dispatcher::send(RequestNumber Number, TargetView &View, PlacementNote Note, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  const TargetName Name = View.Record.Name;
  if (View.isCold(Now)) {
    this->ColdStart.onSent(Name, Now);
  }
  this->Targets.onSent(Name);
  const auto Index = static_cast<AttemptNumber>(Current.Attempts.size());
  Current.Attempts.push_back({Name, Now, Note.Load.Slowdown, true});
  this->planHedge(Current, Note, Now);
  this->updateTimer(Number, Current);
  const ServiceName Service = Current.Terms.Service;
  this->States[Service].Queue.onStart(Now);
  this->Effects.emplace_back(SendAttempt{Number, Index, Name, View.Record.Address,
                                         Current.Terms.Deadline, Current.Terms.Idempotent, Note});
  // The same reports may show room for the next one.
  this->runQueue(Service, Now);
}

void Dispatcher::onSearchFailed(RequestNumber Number, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  const bool IsHedge = Current.Looking && Current.Looking->IsHedge;
  this->endSearch(Current);
  if (IsHedge && this->hasRunning(Current)) {
    Current.HedgeAt = Now + HedgeAgain;
    this->updateTimer(Number, Current);
    return;
  }
  this->enqueue(Number, Now);
}

// Hedges

void Dispatcher::planHedge(Request &Current, const PlacementNote &Note, TimePoint Now) const {
  Current.HedgeAt.reset();
  if (!Current.Terms.Idempotent || Current.Attempts.size() >= Current.Terms.MaxTargets) {
    return;
  }
  const Duration Work = this->expected(Current).Work;
  const TimePoint Usual =
      Now + std::max(scaled(Work, HedgeWorkFactor), scaled(Note.ExpectedCost, HedgeExpectedFactor));
  const TimePoint Latest =
      Current.Terms.Received + Current.Terms.Objective - scaled(Work, HedgeReserve);
  // Before the usual time has passed there is no reason for a hedge.
  Current.HedgeAt = std::max(Now + Work, std::min(Usual, Latest));
}

void Dispatcher::onHedgeDue(RequestNumber Number, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  Current.HedgeAt.reset();
  if (Current.Looking || Current.Queued || !this->hasRunning(Current)) {
    return;
  }
  if (!this->canRepeat(Current, Now)) {
    Current.HedgeAt = Now + HedgeAgain;
    return;
  }
  this->startSearch(Number, true, Now);
}

// Queue

void Dispatcher::enqueue(RequestNumber Number, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  const WorkEstimate::Expected Work = this->expected(Current);
  ServiceState &State = this->States[Current.Terms.Service];
  const Duration Wait =
      State.Queue.expectedWait(Current.Terms, Work.Work, Now).value_or(Duration(0));
  if (Now + Wait + scaled(Work.Work, LeastWorkPart) >= Current.Terms.Deadline) {
    this->finishWithoutTarget(Number, "no target has room in time", Now);
    return;
  }
  if (State.Queue.empty()) {
    State.NextSearch = Now + scaled(SearchInterval, 0.5 + this->Random.uniform());
  }
  State.Queue.push(Number, Current.Terms, Work.Work, Now);
  this->updateTimer(Number, Current);
}

void Dispatcher::refuseHopeless(DispatchQueue &Queue, TimePoint Now) {
  while (const auto Wait = Queue.waitOfLast(Now)) {
    const RequestNumber Last = *Queue.last();
    const Request &Current = this->Requests.at(Last);
    const Duration Least = scaled(this->expected(Current).Work, LeastWorkPart);
    if (Now + *Wait + Least < Current.Terms.Deadline) {
      return;
    }
    this->finishWithoutTarget(Last, "no target will have room in time", Now);
  }
}

void Dispatcher::runQueue(const ServiceName &Service, TimePoint Now) {
  ServiceState &State = this->States[Service];
  this->refuseHopeless(State.Queue, Now);
  if (State.Searches >= MaxQueueSearches) {
    return;
  }
  const auto First = State.Queue.first(Now);
  if (!First) {
    return;
  }
  State.NextSearch = Now + scaled(SearchInterval, 0.5 + this->Random.uniform());
  State.Queue.remove(*First);
  Request &Current = this->Requests.at(*First);
  const Duration Least = scaled(this->expected(Current).Work, LeastWorkPart);
  if (Now + Least >= Current.Terms.Deadline) {
    this->finishWithoutTarget(*First, "no target had room in time", Now);
    return;
  }
  Current.Queued = true;
  ++State.Searches;
  this->startSearch(*First, false, Now);
}

Duration Dispatcher::retryAfter(const Request &Current, TimePoint Now) {
  const Duration Work = this->expected(Current).Work;
  const Duration Wait = this->States[Current.Terms.Service]
                            .Queue.expectedWait(Current.Terms, Work, Now)
                            .value_or(Work);
  // Callers that were refused together come back spread over the time of the wait.
  const Duration Spread = scaled(Wait, 0.5 + this->Random.uniform());
  return std::clamp(Spread, ShortestRetryAfter, LongestRetryAfter);
}

// Attempts

bool Dispatcher::hasRunning(const Request &Current) const {
  return std::any_of(Current.Attempts.begin(), Current.Attempts.end(),
                     [](const Attempt &Each) { return Each.Running; });
}

bool Dispatcher::canRepeat(const Request &Current, TimePoint Now) {
  const bool IsAllowed = Current.Terms.Idempotent || !Current.MayHaveRun;
  const Duration Least = scaled(this->expected(Current).Work, LeastWorkPart);
  return IsAllowed && Current.Attempts.size() < Current.Terms.MaxTargets &&
         Now + Least < Current.Terms.Deadline && this->Repeats.hasRoom(Current.Terms.Service, Now);
}

void Dispatcher::onAttemptEnd(RequestNumber Number, AttemptNumber Index, const AttemptEnd &End,
                              TimePoint Now) {
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end() || Index >= Found->second.Attempts.size() ||
      !Found->second.Attempts[Index].Running) {
    return;
  }
  Request &Current = Found->second;
  Attempt &Ended = Current.Attempts[Index];
  Ended.Running = false;
  const bool Failed =
      End.Outcome != AttemptOutcome::Answered && End.Outcome != AttemptOutcome::NotRun;
  this->Targets.onAttemptEnd(Ended.Target, Failed, Now);
  if (End.Load) {
    this->Targets.onLoad(Ended.Target, *End.Load, Now);
  }
  const ServiceName Service = Current.Terms.Service;
  switch (End.Outcome) {
  case AttemptOutcome::Answered:
    this->Estimates.onAnswer(Current.Terms.Route, Current.Terms.Objective, Now - Ended.Sent,
                             Ended.Slowdown, static_cast<double>(End.AnswerBytes));
    this->deliver(Number, Index, Now);
    break;
  case AttemptOutcome::TargetError:
    Current.MayHaveRun = true;
    Current.ErrorAnswer = Index;
    this->onFailedAttempt(Number, Now);
    break;
  case AttemptOutcome::Broken:
    Current.MayHaveRun = true;
    this->onFailedAttempt(Number, Now);
    break;
  case AttemptOutcome::NotRun:
  case AttemptOutcome::NotSent:
    this->onFailedAttempt(Number, Now);
    break;
  }
  this->runQueue(Service, Now);
}

void Dispatcher::onFailedAttempt(RequestNumber Number, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  if (this->hasRunning(Current) || Current.Looking) {
    return;
  }
  if (this->canRepeat(Current, Now)) {
    this->startSearch(Number, false, Now);
    return;
  }
  this->finishWithoutTarget(Number, "no further attempt is allowed", Now);
}

void Dispatcher::finishWithoutTarget(RequestNumber Number, const std::string &Reason,
                                     TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  if (Current.ErrorAnswer) {
    this->deliver(Number, *Current.ErrorAnswer, Now);
    return;
  }
  if (Current.MayHaveRun || this->hasRunning(Current)) {
    const bool IsLate = Now >= Current.Terms.Deadline;
    this->refuse(Number, IsLate ? RefusalKind::TimedOut : RefusalKind::TargetFailed, Reason,
                 Duration(0), Now);
    return;
  }
  this->refuse(Number, RefusalKind::NotRun, Reason, this->retryAfter(Current, Now), Now);
}

void Dispatcher::onAnswerCommitted(RequestNumber Number, AttemptNumber Index, TimePoint Now) {
  if (this->Requests.contains(Number)) {
    this->forget(Number, Index, Now);
  }
}

void Dispatcher::deliver(RequestNumber Number, AttemptNumber Index, TimePoint Now) {
  this->Effects.emplace_back(DeliverAnswer{Number, Index});
  this->forget(Number, Index, Now);
}

void Dispatcher::refuse(RequestNumber Number, RefusalKind Kind, std::string Reason,
                        Duration RetryAfter, TimePoint Now) {
  this->forget(Number, std::nullopt, Now);
  this->Effects.emplace_back(RefuseRequest{Number, Kind, std::move(Reason), RetryAfter});
}

void Dispatcher::forget(RequestNumber Number, std::optional<AttemptNumber> Kept, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  const ServiceName Service = Current.Terms.Service;
  for (std::size_t Index = 0; Index < Current.Attempts.size(); ++Index) {
    const Attempt &Each = Current.Attempts[Index];
    if (!Each.Running) {
      continue;
    }
    this->Targets.onAttemptEnd(Each.Target, false, Now);
    const auto Attempt = static_cast<AttemptNumber>(Index);
    if (Attempt != Kept) {
      this->Effects.emplace_back(CancelAttempt{Number, Attempt});
    }
  }
  this->endSearch(Current);
  this->States[Service].Queue.remove(Number);
  this->Timers.erase({Current.Timer, Number});
  this->Requests.erase(Number);
}

// Events and time

void Dispatcher::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  this->Probes.erase(Name);
  this->Targets.onProbe(Name, Report, Now);
  this->wakeSearches(Name, Now);
}

void Dispatcher::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  this->Probes.erase(Name);
  this->Targets.onProbeFailed(Name, Reason, Now);
  this->wakeSearches(Name, Now);
}

void Dispatcher::wakeSearches(const TargetName &Name, TimePoint Now) {
  std::vector<RequestNumber> Waiting;
  for (const auto &[Number, Each] : this->Requests) {
    if (Each.Looking && std::find(Each.Looking->Candidates.begin(), Each.Looking->Candidates.end(),
                                  Name) != Each.Looking->Candidates.end()) {
      Waiting.push_back(Number);
    }
  }
  for (const RequestNumber Number : Waiting) {
    const auto Found = this->Requests.find(Number);
    if (Found != this->Requests.end() && Found->second.Looking) {
      this->evaluate(Number, Now);
    }
  }
}

void Dispatcher::updateTimer(RequestNumber Number, Request &Current) {
  TimePoint Next = Current.Terms.Deadline;
  if (Current.Looking) {
    Next = std::min(Next, Current.Looking->StageEnds);
  }
  if (Current.HedgeAt) {
    Next = std::min(Next, *Current.HedgeAt);
  }
  this->Timers.erase({Current.Timer, Number});
  Current.Timer = Next;
  this->Timers.insert({Next, Number});
}

void Dispatcher::onRequestTimer(RequestNumber Number, TimePoint Now) {
  Request &Current = this->Requests.at(Number);
  if (Now >= Current.Terms.Deadline) {
    this->finishWithoutTarget(Number, "the time of the request is over", Now);
    return;
  }
  if (Current.HedgeAt && *Current.HedgeAt <= Now) {
    this->onHedgeDue(Number, Now);
  }
  const auto Found = this->Requests.find(Number);
  if (Found == this->Requests.end()) {
    return;
  }
  if (Found->second.Looking && Found->second.Looking->StageEnds <= Now) {
    this->evaluate(Number, Now);
  }
  if (const auto Left = this->Requests.find(Number); Left != this->Requests.end()) {
    this->updateTimer(Number, Left->second);
  }
}

void Dispatcher::onTick(TimePoint Now) {
  this->Targets.onTick(Now);
  std::vector<RequestNumber> Due;
  for (auto Next = this->Timers.begin(); Next != this->Timers.end() && Next->first <= Now; ++Next) {
    Due.push_back(Next->second);
  }
  for (const RequestNumber Number : Due) {
    if (this->Requests.contains(Number)) {
      this->onRequestTimer(Number, Now);
    }
  }
  std::vector<ServiceName> Waiting;
  for (const auto &[Name, State] : this->States) {
    if (!State.Queue.empty() && State.NextSearch <= Now) {
      Waiting.push_back(Name);
    }
  }
  for (const ServiceName &Name : Waiting) {
    this->runQueue(Name, Now);
  }
}

std::optional<TimePoint> Dispatcher::nextWakeup() const {
  std::optional<TimePoint> Result;
  if (!this->Timers.empty()) {
    Result = this->Timers.begin()->first;
  }
  for (const auto &[Name, State] : this->States) {
    if (!State.Queue.empty() && State.Searches < MaxQueueSearches) {
      Result = Result ? std::min(*Result, State.NextSearch) : State.NextSearch;
    }
  }
  return Result;
}

} // namespace anvilsaddle
