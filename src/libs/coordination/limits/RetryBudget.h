#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>

namespace anvilsaddle {

/// Limits on the attempts of a request beyond the first, for all entries together. Value type.
struct RetryBudgetLimits {
  /// Retries for each request of a service within the window.
  double Ratio = 0.2;
  /// Retries of a service that are allowed within the window without any request.
  double BaseRetries = 60;
  Duration Window = std::chrono::seconds(10);

  auto operator<=>(const RetryBudgetLimits &) const = default;
};

/// This entry's share of the fleet's budget for retries, which include hedges. Entries share no
/// state: the ratio applies to this entry's own requests, and the base retries are divided evenly
/// by the number of entries. Not thread-safe; times must not decrease.
class RetryBudget {
public:
  /// Fraction of the limit that is used, because the windows of the entries slide independently and
  /// entries may disagree on the number of live entries.
  static constexpr double UsedFraction = 0.7;

  explicit RetryBudget(RetryBudgetLimits Limits) : Limits(Limits) {}

  /// Precondition: the count is positive.
  void setEntryCount(std::size_t Count) { this->EntryCount = Count; }
  void onRequest(const ServiceName &Service, TimePoint Now);
  /// Takes one retry from the budget. Returns false and takes nothing if none is left.
  bool tryAcquire(const ServiceName &Service, TimePoint Now);
  /// True if a retry could be taken now.
  bool canAcquire(const ServiceName &Service, TimePoint Now);
  /// The same for hedges that have a limit of their own. They leave half of the budget to retries
  /// after failures, but may take one of a budget of less than two.
  bool canAcquireHedge(const ServiceName &Service, TimePoint Now);
  bool tryAcquireHedge(const ServiceName &Service, TimePoint Now);

private:
  struct History {
    std::deque<TimePoint> Requests;
    /// Retries and hedges.
    std::deque<TimePoint> Retries;
    std::deque<TimePoint> Hedges;
  };

  /// Retries and hedges within the window that the history of a service allows.
  double limit(const History &Current) const;
  History &recentHistory(const ServiceName &Service, TimePoint Now);

  RetryBudgetLimits Limits;
  std::size_t EntryCount = 1;
  std::map<ServiceName, History> Histories;
};

} // namespace anvilsaddle
