#include "coordination/dispatch/CallerTimes.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Smaller differences come from the way to the entry. No refusal asks for an earlier return.
constexpr Duration MinElapsed = 50ms;
/// A longest time that no caller has stated for this long is not that of the route any more.
constexpr Duration MaxAge = 10s;

} // namespace

Duration CallerTimes::elapsed(const RouteName &Route, Duration TimeLeft, TimePoint Now) {
  LongestTime &Known = this->Longest[Route];
  if (TimeLeft + MinElapsed > Known.Value || Now - Known.LastSeen > MaxAge) {
    Known = {Now - Known.LastSeen > MaxAge ? TimeLeft : std::max(TimeLeft, Known.Value), Now};
    return Duration(0);
  }
  return Known.Value - TimeLeft;
}

} // namespace anvilsaddle
