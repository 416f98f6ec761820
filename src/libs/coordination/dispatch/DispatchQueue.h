#pragma once

#include "coordination/dispatch/DispatchTypes.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace anvilsaddle {

/// Queue of the requests of one service that wait at this entry for a target with free capacity.
/// The order is by priority. Customers of one priority take turns by start-time fair queueing: each
/// has a virtual time that advances with its dispatches, and the one with the lowest comes first.
/// The requests without a customer count as one. A customer whose requests all miss their objective
/// comes after those who can still meet theirs, but gets at least a quarter of their rate.
///
/// Of one customer, requests that can still meet their objective come before those that can't; then
/// the one that must be sent first to meet it comes first.
///
/// This order works for short waits. In an overload it would send each request just before its time
/// expires, so that all responses would be late. Therefore, once the first request has waited for
/// half of the time that it can wait, the newest request that can still meet its objective comes
/// first.
///
/// A caller that returns after a refusal takes the place of its first attempt: it goes ahead of
/// requests of the same priority that arrived after that. Not thread-safe; times must not decrease.
class DispatchQueue {
public:
  /// Precondition: the request is not in the queue. `ProcessingTime` is the usual time at a target.
  /// `IsFromQueue` tells that the request was taken from the queue for a search that found no free
  /// capacity, so that the queue counts as not empty in between.
  void push(RequestNumber Request, const RequestAttributes &Attributes, Duration ProcessingTime,
            bool IsFromQueue, TimePoint Now);
  /// Returns false if the request is not in the queue.
  bool remove(RequestNumber Request);
  /// Returns the request to send next; nothing if the queue is empty. First moves back the requests
  /// that can no longer meet their objective.
  std::optional<RequestNumber> front(TimePoint Now);
  /// True if a queued request is more urgent than this priority.
  bool hasMoreUrgent(std::uint32_t Priority) const;
  /// True if all queued requests miss their objective, so that requests of other entries that can
  /// still meet theirs should go first. False if the queue is empty.
  bool allMissObjective(TimePoint Now) const;
  /// True if a request of the same priority and another customer is in the queue.
  bool hasOtherCustomers(const RequestAttributes &Attributes) const;
  /// Returns the request in the last place; nothing if the queue is empty.
  std::optional<RequestNumber> back() const;
  /// Expected wait of the last request; nothing as long as there are too few dispatches.
  std::optional<Duration> expectedWaitOfBack(TimePoint Now) const;
  bool empty() const { return this->Requests.empty(); }
  std::size_t size() const { return this->Requests.size(); }

  /// Records that a request of the service was sent to a target. `ProcessingTime` is the usual time
  /// at a target.
  void onDispatched(const RequestAttributes &Attributes, Duration ProcessingTime, TimePoint Now);
  /// Expected wait of a request that arrives now, estimated from the dispatches while the queue was
  /// not empty; nothing as long as these are too few. Dispatches without a queue only reflect how
  /// many requests arrived.
  std::optional<Duration> expectedWait(const RequestAttributes &Attributes, Duration ProcessingTime,
                                       TimePoint Now) const;
  /// Number of queued requests that go before one that arrives now.
  std::size_t countAhead(const RequestAttributes &Attributes, Duration ProcessingTime,
                         TimePoint Now) const;
  /// The same without the reversed order of an overload.
  std::size_t countEarlier(const RequestAttributes &Attributes, Duration ProcessingTime,
                           TimePoint Now) const;

private:
  struct SortKey {
    bool MissesObjective = false;
    /// Latest time of dispatch that meets the objective, earlier by the time that the caller has
    /// spent on earlier attempts.
    TimePoint Rank{};
    RequestNumber Request = 0;
    /// Latest time of dispatch that meets the objective.
    TimePoint LatestDispatch{};
    /// The caller returned after a refusal.
    bool IsReturning = false;

    auto operator<=>(const SortKey &) const = default;
  };

  /// Requests of one customer and priority.
  struct Lane {
    std::set<SortKey> Order;
    /// Number of dispatches, counted from the virtual time at which the customer became active.
    double VirtualTime = 0;

    bool canMeetObjective() const {
      return !this->Order.empty() && !this->Order.begin()->MissesObjective;
    }
  };

  /// Requests of one priority.
  struct Level {
    std::map<CustomerName, Lane> Lanes;
    /// Virtual time of the last dispatch, at which customers begin that become active.
    double VirtualTime = 0;

    bool empty() const;
  };

  /// Mean time between two dispatches while requests wait; nothing as long as there are too few
  /// dispatches.
  std::optional<Duration> dispatchInterval(TimePoint Now) const;
  /// Number of requests ahead of a new one, which may go ahead of all those of its customer.
  std::size_t countAhead(const RequestAttributes &Attributes, const SortKey &New,
                         bool GoesAheadOfOwn) const;
  /// Returns the request of the lane to send next. Precondition: the lane is not empty.
  RequestNumber frontOf(Lane &From, TimePoint Now);
  bool isOverloaded(const Lane &Value, TimePoint Now) const;
  /// Whether the most urgent requests wait too long: those of the customer, or those of another one
  /// if it has none among them.
  bool isOverloaded(const CustomerName &Customer, TimePoint Now) const;
  void demote(Lane &From, const SortKey &Key);
  static SortKey makeKey(RequestNumber Request, const RequestAttributes &Attributes,
                         Duration ProcessingTime, TimePoint Now);

  struct QueuedRequest {
    SortKey Key;
    std::uint32_t Priority = 0;
    CustomerName Customer;
    /// Time at which half of the possible waiting time has passed.
    TimePoint HalfWaitTime{};
  };

  std::map<std::uint32_t, Level> Levels;
  std::map<RequestNumber, QueuedRequest> Requests;
  /// Time since when the queue has not been empty.
  TimePoint NonEmptySince{};
  /// Dispatches after NonEmptySince, within the last RateWindow.
  std::deque<TimePoint> DispatchTimes;
};

} // namespace anvilsaddle
