#pragma once

#include "coordination/LoadReport.h"
#include "state/Publication.h"
#include "state/Target.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace anvilsaddle {

/// What this entry knows of a target beyond its registration.
struct TargetState {
  Target Registration;
  /// Latest report and its time; work that this entry sent since then is counted apart.
  std::optional<LoadReport> Load;
  TimePoint LoadTime{};
  std::uint32_t SentSinceLoad = 0;
  /// False after the target said that it is not well, until it says otherwise.
  bool Healthy = true;
  TimePoint ColdUntil{};
  /// Requests of this entry that it processes now.
  std::uint32_t InFlight = 0;
  /// Recent failed attempts, fading with time.
  double Failures = 0;
  TimePoint FailuresTime{};
  /// Not used before this time after probes failed.
  TimePoint BackoffUntil{};
  std::uint32_t FailedProbes = 0;
  /// Set when the registration vanished while the source may have lost it by an outage.
  std::optional<TimePoint> RemoveAt;

  bool isCold(TimePoint Now) const { return Now < this->ColdUntil; }
};

/// The targets of all services as they are published, with what this entry learned about each.
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class TargetTable {
public:
  /// Registrations that lapsed during an outage of their source are back within this time of its
  /// return if the target lives.
  static constexpr Duration ReregistrationTimeout = std::chrono::seconds(2);

  /// Applies published changes in their order; ignores configurations.
  void apply(const PublicationBatch &Batch, TimePoint Now);
  /// Removals from now on wait until this time has passed, because the source of publications had
  /// an outage.
  void deferRemovals(Duration Wait, TimePoint Now);
  /// Time for which removals still wait.
  Duration removalDelay(TimePoint Now) const;
  /// Carries out the removals that are due.
  void onTick(TimePoint Now);

  /// Targets of a service that may get new work: registered, not draining, and not in a failure
  /// domain that operators take out of service. Pointers hold until the next non-const call other
  /// than find() and the record functions.
  std::vector<TargetState *> usableTargets(const ServiceName &Service);
  /// True if the target may get new work now.
  bool isUsable(const TargetName &Name) const;
  /// Null if the target is not registered.
  TargetState *find(const TargetName &Name);
  const std::map<TargetName, TargetState> &all() const { return this->Targets; }
  const std::set<FailureDomainName> &evacuatedDomains() const { return this->Evacuated; }

  void onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now);
  void onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now);
  /// Records the load that came with the answer to a request.
  void onLoad(const TargetName &Name, const LoadReport &Load, TimePoint Now);
  void onSent(const TargetName &Name);
  void onAttemptEnd(const TargetName &Name, bool Failed, TimePoint Now);

  /// Failures of a target, faded up to now.
  static double failures(const TargetState &View, TimePoint Now);

private:
  void add(const Target &Value, TimePoint Now);
  void remove(const TargetName &Name, TimePoint Now);
  void erase(const TargetName &Name);
  bool isUsable(const TargetState &View) const;

  std::map<TargetName, TargetState> Targets;
  std::map<ServiceName, std::set<TargetName>> Services;
  std::set<FailureDomainName> Evacuated;
  TimePoint RemovalsWaitUntil{};
};

} // namespace anvilsaddle
