#pragma once

#include "coordination/ColdStartLimiter.h"
#include "coordination/DispatchTypes.h"
#include "coordination/Placement.h"
#include "coordination/RouteEstimator.h"
#include "coordination/TargetTable.h"
#include "state/Configuration.h"
#include "state/Topology.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

class RandomSource;

/// Sets of targets that a search adds one after the other.
enum class SearchStage { Domain, Region, Reserve, Remote, End };

/// State of the search for one request's target.
struct TargetSearch {
  SearchStage Next = SearchStage::Domain;
  bool IsHedge = false;
  TimePoint Started{};
  /// Until then the candidates' reports are waited for.
  TimePoint StageEnds{};
  std::vector<TargetName> Candidates;
};

/// What a search has to know of its request.
struct SearchSubject {
  const RequestAttributes &Terms;
  /// Targets that had the request before.
  std::vector<TargetName> Used;
  RouteEstimator::Expected Work;
};

/// Chooses which targets a search asks for their load, and tells which of them may take the
/// request: first targets of the own failure domain, then of the region, then those that are cold
/// or call themselves unwell, then those of other regions, each only if the ones before don't
/// suffice.
///
/// Performs no I/O, reads no clock; times must not decrease. Not thread-safe.
class TargetFinder {
public:
  /// Precondition: the random source outlives the object. `Self` is this entry's name among the
  /// live entries.
  TargetFinder(Topology Places, const ColdStartLimits &ColdStart, std::string Self,
               RandomSource &Random);

  TargetTable &targets() { return this->Targets; }
  const TargetTable &targets() const { return this->Targets; }
  void setServices(std::map<ServiceName, Service> Known) { this->Services = std::move(Known); }
  /// Names of the live entries of this region with this one.
  void setEntries(std::vector<std::string> Region) {
    this->ColdStart.setEntries(std::move(Region));
  }

  /// Adds the targets of the next stage up to `Last` that has any, and returns the probes that are
  /// due; nothing if there is no such stage.
  std::optional<std::vector<ProbeTarget>>
  addStage(TargetSearch &Looking, const SearchSubject &Subject, SearchStage Last, TimePoint Now);
  /// Adds a target that has just told its load, if it is warm, well and in this region. False if it
  /// isn't, or if the request had it before.
  bool addOffered(TargetSearch &Looking, const SearchSubject &Subject, const TargetName &Name,
                  TimePoint Now) const;
  /// The known candidates don't suffice, and a target of another region that answers after `Detour`
  /// more could meet the objective, or no other can serve the request at all.
  bool wantsRemote(const TargetSearch &Looking, const SearchSubject &Subject, Duration Detour,
                   TimePoint Now) const;
  /// Other regions with warm and well targets for the request.
  std::set<RegionName> remoteRegions(const SearchSubject &Subject, TimePoint Now);
  /// This region has targets for the request, whatever their load.
  bool hasLocal(const SearchSubject &Subject, TimePoint Now);
  /// Candidates with a fresh report that are warm and well, or else those that are not.
  std::vector<PlacementCandidate> answered(const TargetSearch &Looking, bool Regular,
                                           TimePoint Now) const;
  /// A report that a search needs is still under way.
  bool isWaiting(const TargetSearch &Looking, TimePoint Now) const;

  void onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now);
  void onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now);
  /// Records that a request goes to the target.
  void onSent(const TargetName &Name, TimePoint Now);

private:
  bool belongsTo(const TargetState &View, const SearchSubject &Subject, SearchStage Which,
                 TimePoint Now) const;
  std::vector<TargetName> stageTargets(const SearchSubject &Subject, SearchStage Which,
                                       TimePoint Now);
  std::optional<ProbeTarget> probe(const TargetName &Name, TimePoint Now);
  bool isPending(const TargetName &Name, const TargetSearch &Looking) const;
  bool mayWarmUp(const TargetState &View, TimePoint Now) const;
  std::optional<PlacementCandidate> asCandidate(const TargetSearch &Looking, std::size_t Index,
                                                bool Regular, TimePoint Now) const;

  Topology Places;
  TargetTable Targets;
  ColdStartLimiter ColdStart;
  RandomSource &Random;
  std::map<ServiceName, Service> Services;
  /// Probes under way and the time they were sent.
  std::map<TargetName, TimePoint> Probes;
};

} // namespace anvilsaddle
