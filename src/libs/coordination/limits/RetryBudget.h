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

/// What the size of an entry's share of the base retries follows from.
enum class RetryShareReason {
  /// The number of entries that may use the budget.
  KnownEntries,
  /// The entry has known the fleet for less than a window, and has no share yet.
  JustStarted,
  /// The entry does not know which entries share the budget, and has no share.
  FleetUnknown,
};

/// An entry's share of the base retries of the fleet. Value type.
struct RetryShare {
  /// Number of entries by which the base retries are divided. Positive.
  std::size_t EntryCount = 1;
  RetryShareReason Reason = RetryShareReason::KnownEntries;

  auto operator<=>(const RetryShare &) const = default;
};

/// What an entry may use and has used of the budget of one service within the window that ends now.
/// Value type.
struct RetryUsage {
  std::size_t Requests = 0;
  /// Maximum number of retries, with a fraction.
  double Allowed = 0;
  std::size_t Used = 0;

  auto operator<=>(const RetryUsage &) const = default;
};

using RetryUsages = std::map<ServiceName, RetryUsage>;

/// This entry's share of the fleet's budget for retries, which include hedges. Entries share no
/// state: the ratio applies to this entry's own requests, and the base retries are divided evenly
/// by the number of entries. Not thread-safe; times must not decrease.
class RetryBudget {
public:
  /// Fraction of the ratio that is used. The windows of the entries end at different times, so all
  /// retries within one window may rest on the requests of two, which callers sent to some entries
  /// first and then to others.
  static constexpr double UsedRatioFraction = 0.5;
  /// Fraction of the base retries that is used, because entries may disagree on their number.
  static constexpr double UsedBaseFraction = 0.7;

  explicit RetryBudget(RetryBudgetLimits Limits) : Limits(Limits) {}

  /// Precondition: the count is positive.
  void setEntryCount(std::size_t Count) { this->setShare({Count, RetryShareReason::KnownEntries}); }
  /// Precondition: the count of entries is positive.
  void setShare(const RetryShare &Value) { this->Share = Value; }
  const RetryShare &share() const { return this->Share; }
  /// Base retries of each service that this entry may use within the window.
  double baseShare() const;
  /// Use of all services that this entry has had requests for.
  RetryUsages usages(TimePoint Now) const;
  /// The entry sends the first attempt of a request to a target. Requests that are forwarded at
  /// once are counted where they are sent to a target, so that all entries count each one once.
  void onRequest(const ServiceName &Service, TimePoint Now);
  /// A counted request is forwarded to an entry that counts it too.
  void onRequestMoved(const ServiceName &Service);
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

  /// Retries and hedges within the window that so many requests allow.
  double limit(std::size_t RequestCount) const;
  History &recentHistory(const ServiceName &Service, TimePoint Now);

  RetryBudgetLimits Limits;
  RetryShare Share;
  std::map<ServiceName, History> Histories;
};

const char *toString(RetryShareReason Reason);

} // namespace anvilsaddle
