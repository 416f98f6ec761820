#pragma once

#include <chrono>
#include <cstdint>

namespace anvilsaddle {

/// Tag clock of the decision code. It has no now(): the current time is always passed in, so that
/// the same code runs in the daemon and under a virtual clock.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

} // namespace anvilsaddle
