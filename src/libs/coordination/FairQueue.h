#pragma once

#include "coordination/DispatchPolicy.h"

#include <array>
#include <deque>
#include <functional>
#include <map>

namespace anvilsaddle {

/// Service that the waiting requests can expect, measured by the caller.
struct ServiceEstimate {
  /// Requests per second that the targets finish; zero while unknown.
  double Rate = 0;
  /// Time that a request needs after its start to be answered with high probability.
  Duration Margin{0};
};

/// Start-time fair queue by customer weight. Interactive requests precede bulk requests, but one
/// start in ten goes to bulk while both wait. An idle share is lent at once: a customer that did
/// not wait has no claim for the past. Not thread-safe.
class FairQueue {
public:
  struct Limits {
    std::size_t Total = 10'000;
    std::size_t PerCustomer = 2'000;
  };

  FairQueue() = default;
  explicit FairQueue(Limits Bounds) : Bounds(Bounds) {}

  /// Precondition: the number is neither waiting nor running.
  EnqueueOutcome push(const QueuedRequest &Request, const ServiceEstimate &Service, TimePoint Now);
  /// Takes the first request, in fair order, that is eligible. It counts as running until
  /// onEnd().
  std::optional<QueuedRequest> popFirst(const std::function<bool(const QueuedRequest &)> &Eligible,
                                        TimePoint Now);
  bool cancel(RequestNumber Request);
  /// Removes the requests whose deadline has come.
  std::vector<RequestNumber> expire(TimePoint Now);
  /// Records the end of a request that popFirst() returned.
  void onEnd(const CustomerName &Customer);

  /// Expected wait of a request that arrives now; zero while the rate is unknown.
  Duration expectedWait(const QueuedRequest &Request, double Rate) const;
  std::optional<TimePoint> earliestDeadline() const;
  std::size_t size() const { return this->Places.size(); }
  bool empty() const { return this->Places.empty(); }

private:
  struct Flow {
    std::deque<QueuedRequest> Waiting;
    /// Virtual start of the request at the head.
    double Start = 0;
    double Finish = 0;
    std::uint32_t Weight = 1;
  };
  struct Level {
    std::map<CustomerName, Flow> Flows;
    /// Backlogged flows in the order of their virtual start.
    std::set<std::pair<double, CustomerName>> Order;
    double VirtualTime = 0;
    double WeightSum = 0;
    std::size_t Size = 0;
    /// Starts per second while requests of this class wait; zero until measured.
    double StartRate = 0;
    std::uint32_t Starts = 0;
    TimePoint CountedFrom{};
  };
  struct Place {
    CustomerName Customer;
    RequestClass Class;
    TimePoint Deadline;
  };

  Level &level(RequestClass Class) { return this->Levels[static_cast<std::size_t>(Class)]; }
  const Level &level(RequestClass Class) const {
    return this->Levels[static_cast<std::size_t>(Class)];
  }
  std::optional<QueuedRequest> popFrom(RequestClass Class,
                                       const std::function<bool(const QueuedRequest &)> &Eligible);
  static void countStart(Level &Owner, TimePoint Now);
  void removeWaiting(Level &Owner, const CustomerName &Customer,
                     const std::deque<QueuedRequest>::iterator &Position, bool Started);
  std::deque<QueuedRequest>::iterator find(Flow &Owner, RequestNumber Request);

  Limits Bounds;
  std::array<Level, 2> Levels;
  std::map<RequestNumber, Place> Places;
  std::set<std::pair<TimePoint, RequestNumber>> Deadlines;
  std::map<CustomerName, std::uint32_t> Waiting;
  std::map<CustomerName, std::uint32_t> Running;
  /// Starts owed to bulk.
  double BulkCredit = 0;
};

} // namespace anvilsaddle
