#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/Placement.h"
#include "state/Time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace anvilsaddle {

/// Slowdowns that the targets of one service reported within the last second. Not thread-safe;
/// times must not decrease.
class RecentSlowdowns {
public:
  void add(double Slowdown, TimePoint Now);
  /// Slowdown that the fastest tenth of the reports does not exceed; nothing without reports.
  std::optional<double> fastest(TimePoint Now) const;

private:
  static constexpr std::size_t MaxReports = 64;

  std::deque<std::pair<TimePoint, double>> Reports;
};

enum class RunDecision {
  Send,
  /// A better target may come free in time.
  WaitForBetter,
  /// Neither this target nor another one is expected to complete the request in time.
  Refuse,
};

/// Decision whether a request that is not idempotent is started at a target, with its inputs.
struct RunAdmission {
  RunDecision Decision = RunDecision::Send;
  /// Time until the deadline.
  Duration TimeLeft{0};
  Duration ExpectedTime{0};
  Duration TimeIfSlowdownLasts{0};
  /// Expected time at a fast target with a free slot.
  Duration BetterTime{0};
};

/// Decides whether the run should start. A run that would be cut off at the deadline is worth
/// nothing and holds a slot until then. If the reported slowdown lasts that long, the request waits
/// for a faster target as long as that one can still meet the objective; afterwards the expected
/// time decides. `FastestSlowdown` is that of the fast targets of the service; nothing if unknown.
/// Pure function; thread-safe.
RunAdmission decideRun(const RequestAttributes &Attributes, const PlacementChoice &Choice,
                       Duration ProcessingTime, std::optional<double> FastestSlowdown,
                       TimePoint Now);

} // namespace anvilsaddle
