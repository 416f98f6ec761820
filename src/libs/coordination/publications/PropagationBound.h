#pragma once

#include "state/Time.h"

#include <chrono>
#include <optional>

namespace anvilsaddle {

/// A published change must be in force at every entry within this time.
inline constexpr Duration PropagationBound = std::chrono::milliseconds(2500);

/// True if something may have changed so long ago that it should be in force by now, without the
/// entry knowing it. `KnownAsOf` is the time up to which the entry knows all changes; nothing if it
/// isn't known. Thread-safe.
inline bool isOutdated(std::optional<TimePoint> KnownAsOf, TimePoint Now) {
  return !KnownAsOf || Now - *KnownAsOf > PropagationBound;
}

} // namespace anvilsaddle
