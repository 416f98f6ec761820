#pragma once

#include <compare>
#include <cstddef>
#include <optional>

namespace anvilsaddle {

/// Limit on hedges, for all entries together. Value type.
struct HedgeLimits {
  /// Hedges for each request of a caller; 0 switches hedging off. Nothing if hedges are limited
  /// only by the budget that they share with retries.
  std::optional<double> Share;

  auto operator<=>(const HedgeLimits &) const = default;
};

/// This entry's hedges, limited to a share of the requests that its callers send. Entries share no
/// state: each request is counted at one entry only, so that limits of the entries add up to that
/// of the fleet. Not thread-safe.
///
/// Each request adds the share as credit and each hedge takes 1. The credit starts at 0 and does
/// not exceed maxCredit(), so that within any window, the hedges of an entry are at most the share
/// of its requests in the window, and maxCredit() more.
class HedgeBudget {
public:
  /// Credit that each entry may keep, so that an entry with few requests can hedge two slow ones in
  /// a row.
  static constexpr double EntryCredit = 2;
  /// Credit that all entries together may keep in addition.
  static constexpr double FleetCredit = 30;

  explicit HedgeBudget(HedgeLimits Limits) : Limits(Limits) {}

  /// Precondition: the count is positive.
  void setEntryCount(std::size_t Count);
  /// Counts a request that a caller sent to this entry.
  void onRequest();
  bool canAcquire() const { return this->Credit >= 1; }
  /// Takes one hedge from the budget. Returns false and takes nothing if none is left.
  bool tryAcquire();

  const std::optional<double> &share() const { return this->Limits.Share; }
  double credit() const { return this->Credit; }
  double maxCredit() const {
    return EntryCredit + FleetCredit / static_cast<double>(this->EntryCount);
  }

private:
  HedgeLimits Limits;
  std::size_t EntryCount = 1;
  double Credit = 0;
};

} // namespace anvilsaddle
