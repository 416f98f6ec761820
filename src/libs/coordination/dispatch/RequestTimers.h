#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "state/Time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// One timer per request. Performs no I/O and reads no clock. Not thread-safe.
class RequestTimers {
public:
  /// Replaces the earlier time of the request, if there is one.
  void set(RequestNumber Number, TimePoint Time);
  /// Does nothing if the request has no timer.
  void remove(RequestNumber Number);
  /// Requests whose time has come, the earliest first. Their timers stay set.
  std::vector<RequestNumber> due(TimePoint Now) const;
  /// The earliest time of all requests; nothing if there are none.
  std::optional<TimePoint> next() const;

private:
  std::map<RequestNumber, TimePoint> Times;
  std::set<std::pair<TimePoint, RequestNumber>> Order;
};

} // namespace anvilsaddle
