#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <cstddef>
#include <map>

namespace anvilsaddle {

/// Bounds retries per customer and service to a ratio of first attempts plus a small constant
/// rate, so that a failing service receives at most a little more than its normal load.
/// Memory is bounded: beyond the capacity, pairs without an entry get no retries until an idle
/// entry has refilled and is dropped. Not thread-safe.
class RetryBudget {
public:
  /// Retries per first attempt.
  static constexpr double Ratio = 0.1;
  /// Retries per second without any first attempt, for customers with little traffic.
  static constexpr double ConstantRate = 1;
  /// Most retries that can be saved up.
  static constexpr double Burst = 10;

  explicit RetryBudget(std::size_t Capacity = 4096) : Capacity(Capacity) {}

  /// Records a first attempt.
  void onFirstAttempt(const CustomerName &Customer, const ServiceName &Service, TimePoint Now);
  /// Takes one retry from the budget. Returns false, and takes nothing, if none is left.
  bool tryTake(const CustomerName &Customer, const ServiceName &Service, TimePoint Now);
  std::size_t size() const { return this->Accounts.size(); }

private:
  using Key = std::pair<CustomerName, ServiceName>;
  struct Account {
    double Tokens = 1;
    TimePoint Updated;
  };

  Account *account(const Key &Which, TimePoint Now);
  void dropIdle(TimePoint Now);

  std::size_t Capacity;
  std::map<Key, Account> Accounts;
  TimePoint NextSweep{};
};

} // namespace anvilsaddle
