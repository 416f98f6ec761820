#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>

namespace anvilsaddle {

/// Bound on sends beyond the first of a request, for all entries together. Value type.
struct RetryBudgetLimits {
  /// Retries for each request of a service within the window.
  double Ratio = 0.2;
  /// Retries of a service within the window without any request.
  double BaseRetries = 60;
  Duration Window = std::chrono::seconds(10);

  auto operator<=>(const RetryBudgetLimits &) const = default;
};

/// This entry's share of the fleet's budget for repeats (retries and hedges). No state is shared:
/// the ratio is applied to this entry's own requests, and the extra is split evenly by the number
/// of entries. Not thread-safe; times must not decrease.
class RetryBudget {
public:
  /// Part of the bound that is used, because windows slide and views of the fleet differ.
  static constexpr double UsedPart = 0.7;

  explicit RetryBudget(RetryBudgetLimits Terms) : Terms(Terms) {}

  /// Precondition: the count is positive.
  void setEntryCount(std::size_t Count) { this->Entries = Count; }
  void onRequest(const ServiceName &Service, TimePoint Now);
  /// Takes one repeat. False, and nothing taken, if none is left.
  bool tryTake(const ServiceName &Service, TimePoint Now);
  /// True if a repeat could be taken now.
  bool hasRoom(const ServiceName &Service, TimePoint Now);

private:
  struct Account {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Retries;
  };

  Account &trimmed(const ServiceName &Service, TimePoint Now);

  RetryBudgetLimits Terms;
  std::size_t Entries = 1;
  std::map<ServiceName, Account> Accounts;
};

} // namespace anvilsaddle
