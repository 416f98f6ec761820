#pragma once

#include "coordination/dispatch/LeavingTargets.h"
#include "coordination/dispatch/LoadReport.h"
#include "coordination/dispatch/TargetPauses.h"
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
  /// Numbers of requests that the target rejected although it had room, and that it executed, with
  /// exponential decay, as of RejectionTime.
  double Rejections = 0;
  double Executions = 0;
  TimePoint RejectionTime{};
  /// The target gets no requests before this time, because probes failed.
  TimePoint BackoffUntil{};
  std::uint32_t ConsecutiveProbeFailures = 0;
  /// What the target demanded last, and when it said so.
  TargetConditions Conditions;
  TimePoint ConditionsTime{};
  /// Set when the registration disappeared while the source of publications may have lost it in an
  /// outage.
  std::optional<TimePoint> RemoveAt;
  /// Epoch of the source in which the registration was received.
  std::int64_t Epoch = 0;

  bool isCold(TimePoint Now) const { return Now < this->ColdUntil; }
};

/// The published targets of all services, with the state that this entry has recorded for each.
///
/// When the source of publications returns from an older copy, its snapshot of the new epoch lacks
/// what was published since, until operators and targets publish it again. For
/// ReregistrationTimeout the table therefore keeps the targets and evacuations that the snapshot
/// lacks, and postpones evacuations and targets that had ended before. A registration that the
/// target itself had replaced does not return, nor does a target that was removed after it had
/// announced its shutdown.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class TargetTable {
public:
  /// A registration that expired during an outage of its source is renewed within this time after
  /// the source recovers, if the target is alive.
  static constexpr Duration ReregistrationTimeout = std::chrono::seconds(2);
  /// Shortest outage in which a registration can expire: it does so after three heartbeat intervals
  /// of 1.5 s, of which one may have passed before the outage, with a margin for late heartbeats.
  static constexpr Duration MinExpiryOutage = std::chrono::seconds(2);

  /// Number of removed targets that are remembered to recognize their registrations in a copy.
  static constexpr std::size_t MaxRetainedRemovals = 512;

  /// Applies published changes in order; ignores configurations.
  void apply(const PublicationBatch &Batch, TimePoint Now);
  /// Delays removals until `Delay` has passed, because the source of publications had an outage.
  void deferRemovals(Duration Delay, TimePoint Now);
  /// Called when the source responds again after `Outage`. Defers removals if registrations may
  /// have expired meanwhile because targets could not renew them; a shorter outage leaves them
  /// valid, and a removal is then the source's word.
  void onSourceRecovered(Duration Outage, TimePoint Now);
  /// Time for which removals are still delayed.
  Duration removalDelay(TimePoint Now) const;
  /// Performs the removals and the changes after a restore of the source that are due.
  void onTick(TimePoint Now);

  /// Targets of a service that may get new requests: registered, neither draining nor leaving, and
  /// not in a failure domain that operators evacuate. Pointers stay valid until the next non-const
  /// call other than find() and the on...() functions.
  std::vector<TargetState *> usableTargets(const ServiceName &Service);
  /// True if the target may get new requests now.
  bool isUsable(const TargetName &Name) const;
  /// Returns null if the target is not registered.
  TargetState *find(const TargetName &Name);
  /// Number of targets and evacuations that are in effect although the source does not list them.
  std::size_t retainedCount() const;
  /// Number of targets and evacuations that the source lists and that are postponed.
  std::size_t postponedCount() const;
  /// Number of targets that demand a request limit.
  std::size_t limitedCount() const;
  /// Number of registered targets that have announced in a response that they leave.
  std::size_t leavingCount() const;
  /// Number of targets that have asked this entry to wait.
  std::size_t pausedCount() const { return this->Pauses.size(); }
  /// Time until which the target has asked this entry to wait; in the past if it has not.
  TimePoint pauseEnd(const TargetState &State) const {
    return this->Pauses.endOf(State.Registration);
  }
  const std::map<TargetName, TargetState> &all() const { return this->Targets; }
  const std::set<FailureDomainName> &evacuatedDomains() const { return this->EvacuatedDomains; }

  void onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now);
  void onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now);
  /// Records the load that was reported with the response to a request.
  void onLoad(const TargetName &Name, const LoadReport &Load, TimePoint Now);
  /// Records what the target demanded with the response to a request. Only a probe's response ends
  /// an earlier limit. Also accepts the last responses of a target that has just been removed.
  void onConditions(const TargetName &Name, const TargetConditions &Conditions, TimePoint Now);
  /// The target has rejected a request or a probe and asks this entry to send nothing for a time.
  /// Also accepts the last responses of a target that has just been removed.
  void onRetryAfter(const TargetName &Name, Duration Wait, TimePoint Now);
  void onSent(const TargetName &Name);
  void onAttemptEnd(const TargetName &Name, bool HasFailed, TimePoint Now);

  /// Returns the targets whose demands have changed since the last call.
  std::set<TargetName> takeChangedConditions() {
    return std::exchange(this->ChangedConditions, {});
  }

  /// Returns the pauses that targets have demanded since the last call.
  std::vector<TargetPause> takeNewPauses() { return std::exchange(this->NewPauses, {}); }

  /// Records that another target responded to a hedge of a request first. A slow target whose
  /// requests are cancelled has free slots, and would get more requests than others without this.
  void onHedgeLost(const TargetName &Name, TimePoint Now);
  /// Records whether the target executed a request or rejected it although it had room.
  void onAnswered(const TargetName &Name, bool IsRejected, TimePoint Now);
  /// Fraction of its recent requests that the target rejected although it had room; less with few
  /// requests.
  static double rejectRate(const TargetState &State, TimePoint Now);
  /// Failure score of a target, decayed up to `Now`.
  static double decayedFailureScore(const TargetState &State, TimePoint Now);

private:
  /// Target that was removed, and the epoch of the source in which that happened.
  struct RemovedTarget {
    Target Registration;
    std::int64_t Epoch = 0;
    TimePoint Time{};
  };
  /// Registration that the source lists, and the time at which it takes effect.
  struct PostponedTarget {
    Target Registration;
    TimePoint Due{};
  };
  /// State that the source lists for a failure domain, and the time at which it takes effect.
  struct PostponedEvacuation {
    bool Active = false;
    TimePoint Due{};
  };

  void applyChanges(const PublicationBatch &Batch, TimePoint Now);
  /// Applies a snapshot, or the differences from the state before a restore of the source.
  void applyState(const PublicationBatch &Batch, bool IsRestored, TimePoint Now);
  void applyListedTarget(const Target &Listed, TimePoint Now);
  void applyUnlistedTarget(const TargetName &Name, bool IsRestored, TimePoint Now);
  void applyListedEvacuation(const DomainEvacuation &Listed, bool IsRestored, TimePoint Now);
  void setEvacuated(const FailureDomainName &Domain, bool Active);
  void rememberRemoval(const TargetName &Name, TimePoint Now);
  void add(const Target &Value, TimePoint Now);
  void remove(const TargetName &Name, TimePoint Now);
  void erase(const TargetName &Name);
  bool isUsable(const TargetState &State) const;
  /// Replaces the limit, and adds to what is known of the target's leaving.
  void setConditions(TargetState &State, const TargetConditions &Conditions, TimePoint Now);

  std::map<TargetName, TargetState> Targets;
  std::map<ServiceName, std::set<TargetName>> Services;
  std::set<FailureDomainName> EvacuatedDomains;
  /// Failure domains that were returned to service.
  std::set<FailureDomainName> ReturnedDomains;
  /// Epoch of the source from which the last batch came.
  std::int64_t Epoch = 0;
  bool HasSnapshot = false;
  std::map<TargetName, RemovedTarget> RemovedTargets;
  LeavingTargets Leaving;
  TargetPauses Pauses;
  std::vector<TargetPause> NewPauses;
  std::map<TargetName, PostponedTarget> PostponedTargets;
  std::map<FailureDomainName, PostponedEvacuation> PostponedEvacuations;
  TimePoint RemovalsDeferredUntil{};
  std::set<TargetName> ChangedConditions;
};

} // namespace anvilsaddle
