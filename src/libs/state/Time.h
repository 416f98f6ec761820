#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>

namespace anvilsaddle {

/// Clock type for time points of the decision logic. It has no now(): callers always pass in the
/// current time, so that the same code runs in the daemon and with a virtual clock.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

/// Returns a duration multiplied by a factor, rounded to microseconds. Thread-safe.
inline Duration scaled(Duration Value, double Factor) {
  return Duration(std::llround(static_cast<double>(Value.count()) * Factor));
}

/// Converts a duration to whole milliseconds, rounding towards zero. Thread-safe.
inline std::int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace anvilsaddle
