#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <map>

namespace anvilsaddle {

/// Recognizes callers that return after a refusal: callers of a route give up after about the same
/// time, and a caller that returns states what is left of it. Not thread-safe; times must not
/// decrease.
class CallerTimes {
public:
  /// Records the time that a caller states, and returns the time that it has probably spent on
  /// earlier attempts; zero for the first one.
  Duration elapsed(const RouteName &Route, Duration TimeLeft, TimePoint Now);

private:
  struct LongestTime {
    Duration Value{0};
    TimePoint LastSeen{};
  };

  std::map<RouteName, LongestTime> Longest;
};

} // namespace anvilsaddle
