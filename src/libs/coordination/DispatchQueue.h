#pragma once

#include "coordination/DispatchTypes.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace anvilsaddle {

/// Requests of one service that wait at this entry for a target with room. The more urgent come
/// first; among equals those that can still meet their objective, then those whose time for it ends
/// first. That order answers short waits. In an overload it would serve each request when its time
/// is almost over, and so all of them late; once the first has used up half of the wait that it can
/// bear, the newest of those that can be in time come first. Not thread-safe; times must not
/// decrease.
class DispatchQueue {
public:
  /// Precondition: the request does not wait. `Work` is the usual time at a target. `IsBack` tells
  /// that it comes back from a search that found no room, so that requests have waited all the
  /// time.
  void push(RequestNumber Request, const RequestAttributes &Terms, Duration Work, bool IsBack,
            TimePoint Now);
  /// False if the request does not wait.
  bool remove(RequestNumber Request);
  /// First request; nothing if the queue is empty. Requests that can no longer meet their objective
  /// move back first.
  std::optional<RequestNumber> first(TimePoint Now);
  /// The request that comes last; nothing if the queue is empty.
  std::optional<RequestNumber> last() const;
  /// Expected wait of the last request; nothing as long as the starts are too few.
  std::optional<Duration> waitOfLast(TimePoint Now) const;
  bool empty() const { return this->Places.empty(); }
  std::size_t size() const { return this->Places.size(); }

  /// Records that a request of the service was sent to a target.
  void onStart(TimePoint Now);
  /// Expected wait of a request that arrives now, by the starts while requests waited; nothing as
  /// long as these are too few. Starts without a queue tell only how many requests arrived.
  std::optional<Duration> expectedWait(const RequestAttributes &Terms, Duration Work,
                                       TimePoint Now) const;

private:
  struct Place {
    std::uint32_t Priority = 0;
    bool TooLate = false;
    /// Latest start that meets the objective.
    TimePoint LatestStart{};
    RequestNumber Request = 0;

    auto operator<=>(const Place &) const = default;
  };

  /// Time between two starts while requests wait; nothing as long as these are too few.
  std::optional<Duration> startInterval(TimePoint Now) const;
  /// Number of requests that a new one comes behind.
  std::size_t countAhead(const Place &New, TimePoint Now) const;
  bool isOverloaded(TimePoint Now) const;
  void moveBehind(const Place &Late);
  static Place makePlace(RequestNumber Request, const RequestAttributes &Terms, Duration Work,
                         TimePoint Now);

  struct Waiting {
    Place Current;
    /// Half of the wait that the request can bear is over.
    TimePoint HalfTime{};
  };

  std::set<Place> Order;
  std::map<RequestNumber, Waiting> Places;
  /// Since then requests have waited without a break.
  TimePoint WaitingSince{};
  /// Starts after WaitingSince, within the last RateWindow.
  std::deque<TimePoint> Starts;
};

} // namespace anvilsaddle
