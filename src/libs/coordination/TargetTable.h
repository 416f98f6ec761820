#pragma once

#include "coordination/LoadReport.h"
#include "state/Publication.h"
#include "state/Target.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// State of a target as this entry knows it.
struct TargetState {
  Target Registration;
  /// Latest load report and the time of its arrival. Requests that this entry sent after it are
  /// counted separately.
  std::optional<LoadReport> Load;
  TimePoint LoadTime{};
  std::uint32_t SentSinceLoad = 0;
  /// False after the target reported itself unhealthy, until it reports otherwise.
  bool Healthy = true;
  TimePoint ColdUntil{};
  /// Requests of this entry that the target is processing.
  std::uint32_t InFlight = 0;
  /// Number of failed attempts with exponential decay, as of FailureScoreTime.
  double FailureScore = 0;
  TimePoint FailureScoreTime{};
  /// The target gets no requests before this time, because probes failed.
  TimePoint BackoffUntil{};
  std::uint32_t ConsecutiveProbeFailures = 0;
  /// What the target demanded last, and when it said so.
  TargetConditions Conditions;
  TimePoint ConditionsTime{};
  /// Set when the registration disappeared while the source of publications may have lost it in an
  /// outage.
  std::optional<TimePoint> RemoveAt;

  bool isCold(TimePoint Now) const { return Now < this->ColdUntil; }
};

/// The published targets of all services, with the state that this entry has recorded for each.
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class TargetTable {
public:
  /// A registration that expired during an outage of its source is renewed within this time after
  /// the source recovers, if the target is alive.
  static constexpr Duration ReregistrationTimeout = std::chrono::seconds(2);

  /// Applies published changes in order; ignores configurations.
  void apply(const PublicationBatch &Batch, TimePoint Now);
  /// Delays removals until `Delay` has passed, because the source of publications had an outage.
  void deferRemovals(Duration Delay, TimePoint Now);
  /// Time for which removals are still delayed.
  Duration removalDelay(TimePoint Now) const;
  /// Performs the removals that are due.
  void onTick(TimePoint Now);

  /// Targets of a service that may get new requests: registered, not draining, and not in a failure
  /// domain that operators evacuate. Pointers stay valid until the next non-const call other than
  /// find() and the on...() functions.
  std::vector<TargetState *> usableTargets(const ServiceName &Service);
  /// True if the target may get new requests now.
  bool isUsable(const TargetName &Name) const;
  /// Returns null if the target is not registered.
  TargetState *find(const TargetName &Name);
  /// Number of targets that demand a request limit.
  std::size_t limitedCount() const;
  const std::map<TargetName, TargetState> &all() const { return this->Targets; }
  const std::set<FailureDomainName> &evacuatedDomains() const { return this->EvacuatedDomains; }

  void onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now);
  void onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now);
  /// Records the load that was reported with the response to a request.
  void onLoad(const TargetName &Name, const LoadReport &Load, TimePoint Now);
  /// Records what the target demanded with the response to a request. Only a probe's response ends
  /// an earlier demand.
  void onConditions(const TargetName &Name, const TargetConditions &Conditions, TimePoint Now);
  void onSent(const TargetName &Name);
  void onAttemptEnd(const TargetName &Name, bool HasFailed, TimePoint Now);

  /// Returns the targets whose demands have changed since the last call.
  std::set<TargetName> takeChangedConditions() {
    return std::exchange(this->ChangedConditions, {});
  }

  /// Failure score of a target, decayed up to `Now`.
  static double decayedFailureScore(const TargetState &State, TimePoint Now);

private:
  void add(const Target &Value, TimePoint Now);
  void remove(const TargetName &Name, TimePoint Now);
  void erase(const TargetName &Name);
  bool isUsable(const TargetState &State) const;
  void setConditions(TargetState &State, const TargetConditions &Conditions, TimePoint Now);

  std::map<TargetName, TargetState> Targets;
  std::map<ServiceName, std::set<TargetName>> Services;
  std::set<FailureDomainName> EvacuatedDomains;
  TimePoint RemovalsDeferredUntil{};
  std::set<TargetName> ChangedConditions;
};

} // namespace anvilsaddle
