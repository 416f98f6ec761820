#include "transport/SystemClock.h"

#include <ctime>

#include <glib.h>

namespace anvilsaddle {

TimePoint SystemClock::now() const {
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(Value.tv_sec) +
                                                        std::chrono::nanoseconds(Value.tv_nsec)));
}

std::int64_t SystemClock::unixMilliseconds() const { return g_get_real_time() / 1000; }

} // namespace anvilsaddle
