#pragma once

#include "state/Time.h"

#include <cstdint>

namespace anvilsaddle {

/// Source of the current time. The daemon uses the system clocks; tests use a virtual clock.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time.
  virtual TimePoint now() const = 0;
  /// Wall-clock time in milliseconds since 1970-01-01 UTC; may jump.
  virtual std::int64_t unixMilliseconds() const = 0;
};

} // namespace anvilsaddle
