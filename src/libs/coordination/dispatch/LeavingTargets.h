#pragma once

#include "state/Target.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace anvilsaddle {

/// Targets that have announced in a response that they leave. An announcement holds for that start
/// of the target, also while its registration is missing or returns from an older copy.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class LeavingTargets {
public:
  /// More than all targets of a fleet. The oldest announcements are forgotten first.
  static constexpr std::size_t MaxTargets = 8192;

  /// Ignores targets whose start time is unknown.
  void add(const Target &Registration, TimePoint Now);
  /// True if this start of the target has announced that it leaves.
  bool contains(const Target &Registration) const;

private:
  struct Announcement {
    std::int64_t StartedUnixMilliseconds = 0;
    TimePoint Time{};
  };

  std::map<TargetName, Announcement> Announcements;
};

} // namespace anvilsaddle
