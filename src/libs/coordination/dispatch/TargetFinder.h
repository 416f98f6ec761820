#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/Placement.h"
#include "coordination/dispatch/ProcessingTimeEstimator.h"
#include "coordination/dispatch/TargetTable.h"
#include "coordination/limits/ColdStartLimiter.h"
#include "coordination/limits/RequestRateLimiter.h"
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
enum class SearchStage {
  Domain,
  Region,
  /// More targets of the region.
  WiderRegion,
  Fallback,
  Remote,
  End,
};

/// State of the search for the target of one request.
struct TargetSearch {
  SearchStage NextStage = SearchStage::Domain;
  bool IsHedge = false;
  /// The request does not take the last usable slot of a target.
  bool LeavesLastSlot = false;
  TimePoint StartedAt{};
  /// Time until which the search waits for the reports of the candidates.
  TimePoint StageDeadline{};
  std::vector<TargetName> Candidates;
};

/// Data of a request that its search needs.
struct SearchContext {
  const RequestAttributes &Attributes;
  /// Targets that received the request before.
  std::vector<TargetName> UsedTargets;
  ProcessingTimeEstimator::Estimate Estimate;
};

/// Selects the targets that a search probes for their load, and tells which of them may get the
/// request: first targets of the own failure domain, then of the region, then those that are cold
/// or report themselves unhealthy, then those of other regions. Each stage is only used if the
/// stages before it don't suffice.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class TargetFinder {
public:
  /// Precondition: the random source outlives the object. `Self` is the name of this entry among
  /// the live entries.
  TargetFinder(Topology FleetTopology, const ColdStartLimits &Limits, std::string Self,
               RandomSource &Random);

  TargetTable &targets() { return this->Targets; }
  const TargetTable &targets() const { return this->Targets; }
  void setServices(std::map<ServiceName, Service> Services) {
    this->Services = std::move(Services);
  }
  /// Sets the names of the live entries of this region, including this one.
  void setEntries(std::vector<std::string> RegionEntries) {
    this->RequestRates.setEntries(RegionEntries);
    this->ColdStart.setEntries(std::move(RegionEntries));
  }

  /// Adds the targets of the next stage that has any, up to `LastStage`, and returns the probes to
  /// send; nothing if there is no such stage.
  std::optional<std::vector<ProbeTarget>> addNextStage(TargetSearch &Search,
                                                       const SearchContext &Context,
                                                       SearchStage LastStage, TimePoint Now);
  /// Adds a target that has just reported its load. Returns false if the target is not warm,
  /// healthy and in this region, or if the request was sent to it before.
  bool addReportedTarget(TargetSearch &Search, const SearchContext &Context, const TargetName &Name,
                         TimePoint Now) const;
  /// True if the known candidates don't suffice and a target of another region could meet
  /// the objective, or if no other target can serve the request. `AddedCost` is the cost of the
  /// other region, which is added to the usual processing time.
  bool shouldTryRemote(const TargetSearch &Search, const SearchContext &Context, Duration AddedCost,
                       TimePoint Now) const;
  /// Other regions with warm and healthy targets for the request.
  std::set<RegionName> remoteRegions(const SearchContext &Context, TimePoint Now);
  /// True if this region has targets for the request, whatever their load.
  bool hasLocalTargets(const SearchContext &Context, TimePoint Now);
  /// Returns the candidates with a fresh report that are warm and healthy, or those that are not,
  /// as `IsWarmAndHealthy` tells.
  std::vector<PlacementCandidate> reportedCandidates(const TargetSearch &Search,
                                                     bool IsWarmAndHealthy, TimePoint Now) const;
  /// Time until which all targets that could serve the request have asked this entry to wait;
  /// nothing if there is another one, or none at all.
  std::optional<TimePoint> pauseEnd(const RequestAttributes &Attributes,
                                    const std::vector<TargetName> &UsedTargets, TimePoint Now);
  /// True if a report that the search needs has not arrived yet.
  bool isAwaitingReports(const TargetSearch &Search, TimePoint Now) const;

  void onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now);
  void onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now);
  /// Records that a request is sent to the target.
  void onSent(const TargetName &Name, TimePoint Now);

private:
  /// True if the target may serve the request, whatever its state.
  bool isEligible(const TargetState &State, const RequestAttributes &Attributes,
                  const std::vector<TargetName> &UsedTargets) const;
  /// True if the target gets nothing now, because probes failed or because it asked to wait.
  bool isBackingOff(const TargetState &State, TimePoint Now) const;
  bool matchesStage(const TargetState &State, const SearchContext &Context, SearchStage Stage,
                    TimePoint Now) const;
  std::vector<TargetName> pickStageTargets(const TargetSearch &Search, const SearchContext &Context,
                                           SearchStage Stage, TimePoint Now);
  std::optional<ProbeTarget> startProbeIfNeeded(const TargetName &Name, TimePoint Now);
  bool isReportPending(const TargetName &Name, const TargetSearch &Search) const;
  bool maySendToCold(const TargetState &State, TimePoint Now) const;
  /// True if the target demands no request limit, or if this entry may send now within the limit.
  bool isWithinRequestLimit(const TargetState &State, TimePoint Now) const;
  /// True if the search need not probe the target, because its request limit was heard a moment ago
  /// and allows no request now.
  bool isExcludedByRequestLimit(const TargetState &State, TimePoint Now) const;
  std::optional<PlacementCandidate> makeCandidate(const TargetSearch &Search, std::size_t Index,
                                                  bool IsWarmAndHealthy, TimePoint Now) const;

  Topology FleetTopology;
  TargetTable Targets;
  ColdStartLimiter ColdStart;
  RequestRateLimiter RequestRates;
  RandomSource &Random;
  std::map<ServiceName, Service> Services;
  /// Running probes and the times at which they were sent.
  std::map<TargetName, TimePoint> RunningProbes;
};

} // namespace anvilsaddle
