#include "transport/SystemClock.h"

#include <glib.h>

namespace anvilsaddle {

TimePoint SystemClock::now() const { return TimePoint(Duration(g_get_monotonic_time())); }

std::int64_t SystemClock::unixMilliseconds() const { return g_get_real_time() / 1000; }

} // namespace anvilsaddle
