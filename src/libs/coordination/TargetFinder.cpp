#include "coordination/TargetFinder.h"

#include "coordination/RandomSource.h"

#include <algorithm>

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
/// A round trip to another region, twice: for the probe and for the request.
constexpr Duration RemoteDetour = 120ms;

bool isRegular(const TargetState &View, TimePoint Now) { return View.Healthy && !View.isCold(Now); }

} // namespace

TargetFinder::TargetFinder(Topology Places, const ColdStartLimits &ColdStart, std::string Self,
                           RandomSource &Random)
    : Places(std::move(Places)), ColdStart(ColdStart, std::move(Self)), Random(Random) {}

bool TargetFinder::belongsTo(const TargetState &View, const SearchSubject &Subject,
                             SearchStage Which, TimePoint Now) const {
  const RegionName Region = this->Places.regionOf(View.Registration.Domain);
  const std::set<RegionName> &Home = Subject.Terms.HomeRegions;
  if (Region.empty() || (!Home.empty() && !Home.contains(Region)) || Now < View.BackoffUntil) {
    return false;
  }
  if (std::find(Subject.Used.begin(), Subject.Used.end(), View.Registration.Name) !=
      Subject.Used.end()) {
    return false;
  }
  const Distance Place = this->Places.distanceTo(View.Registration.Domain);
  switch (Which) {
  case SearchStage::Domain:
    return isRegular(View, Now) && Place == Distance::SameDomain;
  case SearchStage::Region:
    return isRegular(View, Now) && Place == Distance::SameRegion;
  case SearchStage::Reserve:
    return !isRegular(View, Now) && Place != Distance::OtherRegion;
  case SearchStage::Remote:
    return isRegular(View, Now) && Place == Distance::OtherRegion;
  case SearchStage::End:
    return false;
  }
  return false;
}

std::vector<TargetName> TargetFinder::stageTargets(const SearchSubject &Subject, SearchStage Which,
                                                   TimePoint Now) {
  std::vector<TargetName> Result;
  for (const TargetState *Each : this->Targets.usableTargets(Subject.Terms.Service)) {
    if (this->belongsTo(*Each, Subject, Which, Now)) {
      Result.push_back(Each->Registration.Name);
    }
  }
  const bool IsReserve = Which == SearchStage::Reserve || Which == SearchStage::Remote;
  const std::size_t Count = std::min(Result.size(), IsReserve ? ReserveTargets : StageTargets);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto Left = static_cast<double>(Result.size() - Index);
    std::swap(Result[Index],
              Result[Index + static_cast<std::size_t>(this->Random.uniform() * Left)]);
  }
  Result.resize(Count);
  return Result;
}

bool TargetFinder::wantsRemote(const TargetSearch &Looking, const SearchSubject &Subject,
                               Duration Detour, TimePoint Now) const {
  const std::vector<PlacementCandidate> Known = this->answered(Looking, true, Now);
  if (Known.empty()) {
    return true;
  }
  const auto Best = placement::choose(Known, Subject.Work, 0);
  const Duration Left = Subject.Terms.Received + Subject.Terms.Objective - Now;
  const bool MeetsObjective = Best->Cost <= Left && Best->HasRoom;
  return !MeetsObjective && Detour + Subject.Work.Work <= Left;
}

std::set<RegionName> TargetFinder::remoteRegions(const SearchSubject &Subject, TimePoint Now) {
  std::set<RegionName> Result;
  for (const TargetState *Each : this->Targets.usableTargets(Subject.Terms.Service)) {
    if (this->belongsTo(*Each, Subject, SearchStage::Remote, Now)) {
      Result.insert(this->Places.regionOf(Each->Registration.Domain));
    }
  }
  return Result;
}

bool TargetFinder::hasLocal(const SearchSubject &Subject, TimePoint Now) {
  const std::vector<TargetState *> Usable = this->Targets.usableTargets(Subject.Terms.Service);
  return std::any_of(Usable.begin(), Usable.end(), [&](const TargetState *Each) {
    return this->belongsTo(*Each, Subject, SearchStage::Domain, Now) ||
           this->belongsTo(*Each, Subject, SearchStage::Region, Now);
  });
}

std::optional<std::vector<ProbeTarget>> TargetFinder::addStage(TargetSearch &Looking,
                                                               const SearchSubject &Subject,
                                                               SearchStage Last, TimePoint Now) {
  while (Looking.Next <= Last) {
    const SearchStage Which = Looking.Next;
    Looking.Next = static_cast<SearchStage>(static_cast<int>(Which) + 1);
    const bool IsRemote = Which == SearchStage::Remote;
    if (IsRemote &&
        (Subject.Terms.IsForwarded || !this->wantsRemote(Looking, Subject, RemoteDetour, Now))) {
      continue;
    }
    const std::vector<TargetName> Added = this->stageTargets(Subject, Which, Now);
    if (Added.empty()) {
      continue;
    }
    Looking.StageEnds = Now + (IsRemote ? RemoteStageWait : StageWait);
    std::vector<ProbeTarget> Result;
    for (const TargetName &Each : Added) {
      Looking.Candidates.push_back(Each);
      if (auto Probe = this->probe(Each, Now)) {
        Result.push_back(std::move(*Probe));
      }
    }
    return Result;
  }
  return std::nullopt;
}

bool TargetFinder::addOffered(TargetSearch &Looking, const SearchSubject &Subject,
                              const TargetName &Name, TimePoint Now) const {
  const auto Found = this->Targets.all().find(Name);
  if (Found == this->Targets.all().end() ||
      Found->second.Registration.Service != Subject.Terms.Service) {
    return false;
  }
  if (!this->belongsTo(Found->second, Subject, SearchStage::Domain, Now) &&
      !this->belongsTo(Found->second, Subject, SearchStage::Region, Now)) {
    return false;
  }
  Looking.Candidates.push_back(Name);
  return true;
}

std::optional<ProbeTarget> TargetFinder::probe(const TargetName &Name, TimePoint Now) {
  const TargetState &View = *this->Targets.find(Name);
  const bool IsFresh = View.Load && Now - View.LoadTime <= FreshReport;
  const auto Running = this->Probes.find(Name);
  const bool IsRunning = Running != this->Probes.end() && Now - Running->second < ProbeForgotten;
  if (IsFresh || IsRunning) {
    return std::nullopt;
  }
  this->Probes[Name] = Now;
  const auto Known = this->Services.find(View.Registration.Service);
  const std::string Path = Known == this->Services.end() ? "/" : Known->second.HealthPath;
  return ProbeTarget{Name, View.Registration.Address, Path};
}

bool TargetFinder::isPending(const TargetName &Name, const TargetSearch &Looking) const {
  const auto Probe = this->Probes.find(Name);
  const auto View = this->Targets.all().find(Name);
  if (View == this->Targets.all().end()) {
    return false;
  }
  const bool IsReported =
      View->second.Load && View->second.LoadTime + FreshReport >= Looking.Started;
  return Probe != this->Probes.end() && !IsReported;
}

bool TargetFinder::isWaiting(const TargetSearch &Looking, TimePoint Now) const {
  return Now < Looking.StageEnds &&
         std::any_of(Looking.Candidates.begin(), Looking.Candidates.end(),
                     [&](const TargetName &Each) { return this->isPending(Each, Looking); });
}

bool TargetFinder::mayWarmUp(const TargetState &View, TimePoint Now) const {
  const auto Known = this->Services.find(View.Registration.Service);
  const double Rate = Known == this->Services.end() ? 0 : Known->second.ColdRequestsPerSecond;
  return this->ColdStart.isOpen(View.Registration.Name, Rate, Now);
}

std::optional<PlacementCandidate> TargetFinder::asCandidate(const TargetSearch &Looking,
                                                            std::size_t Index, bool Regular,
                                                            TimePoint Now) const {
  const auto Found = this->Targets.all().find(Looking.Candidates[Index]);
  if (Found == this->Targets.all().end() || !this->Targets.isUsable(Found->first)) {
    return std::nullopt;
  }
  const TargetState &View = Found->second;
  const bool IsReported = View.Load && View.LoadTime + FreshReport >= Looking.Started;
  if (!IsReported || Now < View.BackoffUntil || isRegular(View, Now) != Regular ||
      (View.isCold(Now) && !this->mayWarmUp(View, Now))) {
    return std::nullopt;
  }
  return PlacementCandidate{Index, this->Places.distanceTo(View.Registration.Domain), *View.Load,
                            View.SentSinceLoad, TargetTable::failures(View, Now)};
}

std::vector<PlacementCandidate> TargetFinder::answered(const TargetSearch &Looking, bool Regular,
                                                       TimePoint Now) const {
  std::vector<PlacementCandidate> Result;
  for (std::size_t Index = 0; Index < Looking.Candidates.size(); ++Index) {
    if (const auto Candidate = this->asCandidate(Looking, Index, Regular, Now)) {
      Result.push_back(*Candidate);
    }
  }
  return Result;
}

void TargetFinder::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  this->Probes.erase(Name);
  this->Targets.onProbe(Name, Report, Now);
}

void TargetFinder::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  this->Probes.erase(Name);
  this->Targets.onProbeFailed(Name, Reason, Now);
}

void TargetFinder::onSent(const TargetName &Name, TimePoint Now) {
  const TargetState *View = this->Targets.find(Name);
  if (View && View->isCold(Now)) {
    this->ColdStart.onSent(Name, Now);
  }
  this->Targets.onSent(Name);
}

} // namespace anvilsaddle
