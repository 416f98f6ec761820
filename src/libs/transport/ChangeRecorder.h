#pragma once

#include "coordination/dispatch/SaturationEstimator.h"
#include "coordination/dispatch/TargetTable.h"
#include "coordination/limits/RetryBudget.h"
#include "state/AuditTrail.h"
#include "state/Publication.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

class Clock;

/// Writes what changes the beliefs of this entry to the log and to the audit trail. Not
/// thread-safe.
class ChangeRecorder {
public:
  static constexpr Duration MinRetryShareInterval = std::chrono::seconds(1);

  /// Precondition: the audit trail, the targets and the clock outlive the object.
  ChangeRecorder(AuditTrail &Audit, TargetTable &Targets, const Clock &Time)
      : Audit(Audit), Targets(Targets), Time(Time) {}

  void onSeedsChanged(std::size_t OldCount, std::size_t NewCount);
  void onEntriesChanged(std::size_t OldCount, std::size_t NewCount, std::size_t InRegion);
  /// Records a change of this entry's share of the budget for retries. To be called periodically:
  /// changes that follow within MinRetryShareInterval are recorded together at its end.
  void onRetryShare(const RetryShare &Share, double BaseShare, std::size_t LiveCount);
  /// A configuration is in force. `From` is the version before it, `Source` the store or the entry
  /// that it came from, `KnownAsOf` the time up to which the publications were known before.
  void onConfiguration(std::uint64_t Version, const std::string &From, const std::string &Source,
                       std::optional<TimePoint> KnownAsOf);
  /// A target or a failure domain changes. Called before the targets are updated, so that
  /// registrations that change nothing are left out. Precondition: it is no configuration.
  void onPublication(const Publication &Change);
  /// Records the services whose targets are used with more or fewer slots from now on.
  void onSaturationChanged(const std::vector<SaturationChange> &Changed);
  /// Records the targets whose demands have changed.
  void recordChangedConditions();
  /// Records the targets that have asked this entry to send nothing for a time.
  void recordNewPauses();

private:
  void onTargetRegistered(const Target &Registration);
  void append(std::string Subject, std::string OldValue, std::string NewValue,
              const std::string &Reason, std::uint64_t ConfigurationVersion = 0);

  AuditTrail &Audit;
  TargetTable &Targets;
  const Clock &Time;
  std::optional<RetryShare> RecordedShare;
  TimePoint ShareRecordedAt{};
};

} // namespace anvilsaddle
