#pragma once

#include "state/Target.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace anvilsaddle {

/// A target has asked this entry to send nothing for a time. Value type.
struct TargetPause {
  TargetName Name;
  ServiceName Service;
  std::int64_t StartedUnixMilliseconds = 0;
  /// What the target asked for.
  Duration Requested{0};
  /// Time that is left; less than requested if the target asked for more than is granted, and more
  /// if it had asked for a longer pause before.
  Duration Left{0};

  auto operator<=>(const TargetPause &) const = default;
};

/// Targets that have asked this entry to send nothing for a time. A pause holds for that start of
/// the target, also while its registration is missing. It ends by time alone.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class TargetPauses {
public:
  /// Longer pauses are cut, so that a target doesn't take itself out of service for good.
  static constexpr Duration MaxPause = std::chrono::minutes(5);
  /// More than all targets of a fleet. Beyond that, the oldest pauses are forgotten first.
  static constexpr std::size_t MaxTargets = 8192;

  /// Records a demand, and returns what follows from it. A shorter demand doesn't end an earlier
  /// pause.
  TargetPause add(const Target &Registration, Duration Requested, TimePoint Now);
  /// End of the target's pause; in the past if it has none.
  TimePoint endOf(const Target &Registration) const;
  void removeEnded(TimePoint Now);
  /// Number of pauses, also of those that have ended and were not removed.
  std::size_t size() const { return this->Pauses.size(); }

private:
  struct Pause {
    std::int64_t StartedUnixMilliseconds = 0;
    TimePoint End{};
    /// Time of the last demand.
    TimePoint Time{};
  };

  std::map<TargetName, Pause> Pauses;
};

} // namespace anvilsaddle
