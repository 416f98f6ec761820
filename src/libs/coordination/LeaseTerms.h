#pragma once

#include "state/Time.h"

namespace anvilsaddle {

/// The owner counts a lease from the time of its request.
inline constexpr Duration LeaseLength = std::chrono::seconds(1);
/// Interval of lease requests, repeated releases and repeated inquiries.
inline constexpr Duration LeaseRenewal = std::chrono::milliseconds(300);

/// Time to wait on the local clock until a period on the clock of another VM has surely passed.
/// Clocks may differ in speed by 5%.
constexpr Duration withDrift(Duration Period) { return Period + Period / 20; }

} // namespace anvilsaddle
