#include "coordination/ShutdownSchedule.h"

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Callers need between one and three lifetimes of a directory response to learn that the entry
/// shuts down.
constexpr Duration ServeTime = 2500ms;
/// Requests that are still in progress get their final response this long before the process is
/// killed.
constexpr Duration FinalResponseLeadTime = 900ms;
/// Time for sending the final responses before the process ends.
constexpr Duration FlushTime = 200ms;

} // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint Start, Duration GracePeriod)
    : ServeUntil(Start + ServeTime), FinalResponseTime(Start + GracePeriod - FinalResponseLeadTime),
      EndTime(this->FinalResponseTime + FlushTime) {}

} // namespace anvilsaddle
