#pragma once

#include "state/Time.h"

#include <cstdint>

namespace anvilsaddle {

/// Source of the current time. The daemon uses the system's clocks; tests use a virtual one.
class Clock {
public:
  virtual ~Clock() = default;

  virtual TimePoint now() const = 0;
  /// Milliseconds since 1970-01-01 UTC; may jump.
  virtual std::int64_t unixMilliseconds() const = 0;
};

} // namespace anvilsaddle
