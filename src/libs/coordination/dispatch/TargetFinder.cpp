#include "coordination/dispatch/TargetFinder.h"

#include "coordination/RandomSource.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// A report up to this age is as good as a new probe: a whole probe between failure domains, with
/// the round trip and the response of the target, takes longer.
constexpr Duration MaxReportAge = 4ms;
/// Longest wait for the reports of a stage. CPU throttling can stop a target or this entry for most
/// of a tenth of a second.
constexpr Duration StageTimeout = 90ms;
/// The same for targets of other regions, where a round trip takes 60 ms and setting up a
/// connection another 60 ms.
constexpr Duration RemoteStageTimeout = 200ms;
/// A probe without a response after this time is sent again.
constexpr Duration ProbeTimeout = 400ms;
/// Maximum number of targets that are probed at once in the stages Domain and Region.
constexpr std::size_t TargetsPerStage = 3;
/// The same in the other stages.
constexpr std::size_t TargetsPerLaterStage = 2;
/// Two round trips to another region: one for the probe and one for the request.
constexpr Duration RemoteAddedLatency = 120ms;
/// A target whose request limit allows no request is probed again after this time, to hear whether
/// it still demands the limit.
constexpr Duration RequestLimitRecheckInterval = 1s;

bool isWarmAndHealthy(const TargetState &State, TimePoint Now) {
  return State.Healthy && !State.isCold(Now);
}

} // namespace

TargetFinder::TargetFinder(Topology FleetTopology, const ColdStartLimits &Limits, std::string Self,
                           RandomSource &Random)
    : FleetTopology(std::move(FleetTopology)), ColdStart(Limits, Self),
      RequestRates(std::move(Self)), Random(Random) {}

bool TargetFinder::isEligible(const TargetState &State, const RequestAttributes &Attributes,
                              const std::vector<TargetName> &UsedTargets) const {
  const RegionName Region = this->FleetTopology.regionOf(State.Registration.Domain);
  const bool IsHome = Attributes.HomeRegions.empty() || Attributes.HomeRegions.contains(Region);
  return !Region.empty() && IsHome &&
         std::find(UsedTargets.begin(), UsedTargets.end(), State.Registration.Name) ==
             UsedTargets.end();
}

bool TargetFinder::isBackingOff(const TargetState &State, TimePoint Now) const {
  return Now < State.BackoffUntil || Now < this->Targets.pauseEnd(State);
}

bool TargetFinder::matchesStage(const TargetState &State, const SearchContext &Context,
                                SearchStage Stage, TimePoint Now) const {
  if (!this->isEligible(State, Context.Attributes, Context.UsedTargets) ||
      this->isBackingOff(State, Now)) {
    return false;
  }
  const Distance Proximity = this->FleetTopology.distanceTo(State.Registration.Domain);
  switch (Stage) {
  case SearchStage::Domain:
    return isWarmAndHealthy(State, Now) && Proximity == Distance::SameDomain;
  case SearchStage::Region:
  case SearchStage::WiderRegion:
    return isWarmAndHealthy(State, Now) && Proximity == Distance::SameRegion;
  case SearchStage::Fallback:
    return !isWarmAndHealthy(State, Now) && Proximity != Distance::OtherRegion;
  case SearchStage::Remote:
    return isWarmAndHealthy(State, Now) && Proximity == Distance::OtherRegion;
  case SearchStage::End:
    return false;
  }
  return false;
}

std::vector<TargetName> TargetFinder::pickStageTargets(const TargetSearch &Search,
                                                       const SearchContext &Context,
                                                       SearchStage Stage, TimePoint Now) {
  std::vector<TargetName> Result;
  for (const TargetState *Each : this->Targets.usableTargets(Context.Attributes.Service)) {
    const bool IsCandidate = std::find(Search.Candidates.begin(), Search.Candidates.end(),
                                       Each->Registration.Name) != Search.Candidates.end();
    if (!IsCandidate && this->matchesStage(*Each, Context, Stage, Now) &&
        !this->isExcludedByRequestLimit(*Each, Now)) {
      Result.push_back(Each->Registration.Name);
    }
  }
  const std::size_t Count = std::min(
      Result.size(), Stage <= SearchStage::Region ? TargetsPerStage : TargetsPerLaterStage);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto Remaining = static_cast<double>(Result.size() - Index);
    std::swap(Result[Index],
              Result[Index + static_cast<std::size_t>(this->Random.uniform() * Remaining)]);
  }
  Result.resize(Count);
  return Result;
}

bool TargetFinder::shouldTryRemote(const TargetSearch &Search, const SearchContext &Context,
                                   Duration AddedCost, TimePoint Now) const {
  const std::vector<PlacementCandidate> Reported = this->reportedCandidates(Search, true, Now);
  if (Reported.empty()) {
    return true;
  }
  const auto Best = placement::chooseBest(Reported, Context.Estimate, 0);
  const Duration TimeLeft = Context.Attributes.ReceivedAt + Context.Attributes.Objective - Now;
  const bool MeetsObjective = Best->Cost <= TimeLeft && Best->HasCapacity;
  return !MeetsObjective && AddedCost + Context.Estimate.ProcessingTime <= TimeLeft;
}

std::set<RegionName> TargetFinder::remoteRegions(const SearchContext &Context, TimePoint Now) {
  std::set<RegionName> Result;
  for (const TargetState *Each : this->Targets.usableTargets(Context.Attributes.Service)) {
    if (this->matchesStage(*Each, Context, SearchStage::Remote, Now)) {
      Result.insert(this->FleetTopology.regionOf(Each->Registration.Domain));
    }
  }
  return Result;
}

bool TargetFinder::hasLocalTargets(const SearchContext &Context, TimePoint Now) {
  const std::vector<TargetState *> UsableTargets =
      this->Targets.usableTargets(Context.Attributes.Service);
  return std::any_of(UsableTargets.begin(), UsableTargets.end(), [&](const TargetState *Each) {
    return this->matchesStage(*Each, Context, SearchStage::Domain, Now) ||
           this->matchesStage(*Each, Context, SearchStage::Region, Now);
  });
}

std::optional<TimePoint> TargetFinder::pauseEnd(const RequestAttributes &Attributes,
                                                const std::vector<TargetName> &UsedTargets,
                                                TimePoint Now) {
  std::optional<TimePoint> Earliest;
  for (const TargetState *Each : this->Targets.usableTargets(Attributes.Service)) {
    const bool IsRemote =
        this->FleetTopology.distanceTo(Each->Registration.Domain) == Distance::OtherRegion;
    if (!this->isEligible(*Each, Attributes, UsedTargets) ||
        (IsRemote && Attributes.CameFromOtherEntry)) {
      continue;
    }
    const TimePoint End = this->Targets.pauseEnd(*Each);
    if (End <= Now) {
      return std::nullopt;
    }
    Earliest = std::min(Earliest.value_or(End), End);
  }
  return Earliest;
}

std::optional<std::vector<ProbeTarget>> TargetFinder::addNextStage(TargetSearch &Search,
                                                                   const SearchContext &Context,
                                                                   SearchStage LastStage,
                                                                   TimePoint Now) {
  while (Search.NextStage <= LastStage) {
    const SearchStage Stage = Search.NextStage;
    Search.NextStage = static_cast<SearchStage>(static_cast<int>(Stage) + 1);
    const bool IsRemote = Stage == SearchStage::Remote;
    if (IsRemote && (Context.Attributes.CameFromOtherEntry ||
                     !this->shouldTryRemote(Search, Context, RemoteAddedLatency, Now))) {
      continue;
    }
    const std::vector<TargetName> Added = this->pickStageTargets(Search, Context, Stage, Now);
    if (Added.empty()) {
      continue;
    }
    Search.StageDeadline = Now + (IsRemote ? RemoteStageTimeout : StageTimeout);
    std::vector<ProbeTarget> Result;
    for (const TargetName &Each : Added) {
      Search.Candidates.push_back(Each);
      if (auto Probe = this->startProbeIfNeeded(Each, Now)) {
        Result.push_back(std::move(*Probe));
      }
    }
    return Result;
  }
  return std::nullopt;
}

bool TargetFinder::addReportedTarget(TargetSearch &Search, const SearchContext &Context,
                                     const TargetName &Name, TimePoint Now) const {
  const auto Found = this->Targets.all().find(Name);
  if (Found == this->Targets.all().end() ||
      Found->second.Registration.Service != Context.Attributes.Service) {
    return false;
  }
  if (!this->matchesStage(Found->second, Context, SearchStage::Domain, Now) &&
      !this->matchesStage(Found->second, Context, SearchStage::Region, Now)) {
    return false;
  }
  Search.Candidates.push_back(Name);
  return true;
}

std::optional<ProbeTarget> TargetFinder::startProbeIfNeeded(const TargetName &Name, TimePoint Now) {
  const TargetState &State = *this->Targets.find(Name);
  const bool IsFresh = State.Load && Now - State.LoadTime <= MaxReportAge;
  const auto RunningProbe = this->RunningProbes.find(Name);
  const bool IsRunning =
      RunningProbe != this->RunningProbes.end() && Now - RunningProbe->second < ProbeTimeout;
  if (IsFresh || IsRunning) {
    return std::nullopt;
  }
  this->RunningProbes[Name] = Now;
  const auto FoundService = this->Services.find(State.Registration.Service);
  const std::string Path =
      FoundService == this->Services.end() ? "/" : FoundService->second.HealthPath;
  return ProbeTarget{Name, State.Registration.Address, Path};
}

bool TargetFinder::isReportPending(const TargetName &Name, const TargetSearch &Search) const {
  const auto Probe = this->RunningProbes.find(Name);
  const auto State = this->Targets.all().find(Name);
  if (State == this->Targets.all().end()) {
    return false;
  }
  const bool IsReported =
      State->second.Load && State->second.LoadTime + MaxReportAge >= Search.StartedAt;
  return Probe != this->RunningProbes.end() && !IsReported;
}

bool TargetFinder::isAwaitingReports(const TargetSearch &Search, TimePoint Now) const {
  return Now < Search.StageDeadline &&
         std::any_of(Search.Candidates.begin(), Search.Candidates.end(),
                     [&](const TargetName &Each) { return this->isReportPending(Each, Search); });
}

bool TargetFinder::maySendToCold(const TargetState &State, TimePoint Now) const {
  const auto FoundService = this->Services.find(State.Registration.Service);
  const double Rate =
      FoundService == this->Services.end() ? 0 : FoundService->second.ColdRequestsPerSecond;
  return this->ColdStart.maySend(State.Registration.Name, Rate, Now);
}

bool TargetFinder::isWithinRequestLimit(const TargetState &State, TimePoint Now) const {
  const std::optional<double> &Limit = State.Conditions.RequestLimit;
  if (!Limit) {
    return true;
  }
  // The entries of the target's region share its limit.
  const bool IsInOtherRegion =
      this->FleetTopology.distanceTo(State.Registration.Domain) == Distance::OtherRegion;
  return !IsInOtherRegion && this->RequestRates.maySend(State.Registration.Name, *Limit, Now);
}

bool TargetFinder::isExcludedByRequestLimit(const TargetState &State, TimePoint Now) const {
  return Now - State.ConditionsTime < RequestLimitRecheckInterval &&
         !this->isWithinRequestLimit(State, Now);
}

std::optional<PlacementCandidate> TargetFinder::makeCandidate(const TargetSearch &Search,
                                                              std::size_t Index,
                                                              bool IsWarmAndHealthy,
                                                              TimePoint Now) const {
  const auto Found = this->Targets.all().find(Search.Candidates[Index]);
  if (Found == this->Targets.all().end() || !this->Targets.isUsable(Found->first)) {
    return std::nullopt;
  }
  const TargetState &State = Found->second;
  const bool IsReported = State.Load && State.LoadTime + MaxReportAge >= Search.StartedAt;
  if (!IsReported || this->isBackingOff(State, Now) ||
      isWarmAndHealthy(State, Now) != IsWarmAndHealthy ||
      (State.isCold(Now) && !this->maySendToCold(State, Now)) ||
      !this->isWithinRequestLimit(State, Now)) {
    return std::nullopt;
  }
  return PlacementCandidate{Index,
                            this->FleetTopology.distanceTo(State.Registration.Domain),
                            *State.Load,
                            State.SentSinceLoad,
                            TargetTable::decayedFailureScore(State, Now),
                            TargetTable::rejectRate(State, Now)};
}

std::vector<PlacementCandidate> TargetFinder::reportedCandidates(const TargetSearch &Search,
                                                                 bool IsWarmAndHealthy,
                                                                 TimePoint Now) const {
  std::vector<PlacementCandidate> Result;
  for (std::size_t Index = 0; Index < Search.Candidates.size(); ++Index) {
    if (const auto Candidate = this->makeCandidate(Search, Index, IsWarmAndHealthy, Now)) {
      Result.push_back(*Candidate);
    }
  }
  return Result;
}

void TargetFinder::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  this->RunningProbes.erase(Name);
  this->Targets.onProbe(Name, Report, Now);
}

void TargetFinder::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  this->RunningProbes.erase(Name);
  this->Targets.onProbeFailed(Name, Reason, Now);
}

void TargetFinder::onSent(const TargetName &Name, TimePoint Now) {
  const TargetState *State = this->Targets.find(Name);
  if (State && State->isCold(Now)) {
    this->ColdStart.onSent(Name, Now);
  }
  if (State && State->Conditions.RequestLimit) {
    this->RequestRates.onSent(Name, *State->Conditions.RequestLimit, Now);
  }
  this->Targets.onSent(Name);
}

} // namespace anvilsaddle
