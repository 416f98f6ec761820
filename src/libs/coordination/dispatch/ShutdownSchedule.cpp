#include "coordination/dispatch/ShutdownSchedule.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Callers need between one and three lifetimes of a directory response to learn that the entry
/// shuts down.
constexpr Duration MaxServeTime = 2500ms;
constexpr double ServeFraction = 5.0 / 12;
/// Requests that are still in progress get their final response this long before the process is
/// killed. The fraction is less than a sixth, because targets may work until then.
constexpr Duration MaxFinalResponseLeadTime = 900ms;
constexpr double FinalResponseLeadFraction = 0.15;
/// Time between the end of the process and its kill, for the log and for delayed timers. The rest
/// of the lead time is for sending the final responses to slow callers.
constexpr Duration MaxEndLeadTime = 400ms;
constexpr double EndLeadFraction = 1.0 / 15;

Duration limitedFraction(Duration GracePeriod, double Fraction, Duration Limit) {
  return std::min(scaled(GracePeriod, Fraction), Limit);
}

} // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint Start, Duration GracePeriod)
    : ServeUntil(Start + limitedFraction(GracePeriod, ServeFraction, MaxServeTime)),
      FinalResponseTime(
          Start + GracePeriod -
          limitedFraction(GracePeriod, FinalResponseLeadFraction, MaxFinalResponseLeadTime)),
      EndTime(Start + GracePeriod - limitedFraction(GracePeriod, EndLeadFraction, MaxEndLeadTime)) {
}

} // namespace anvilsaddle
