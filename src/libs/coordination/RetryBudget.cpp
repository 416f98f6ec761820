#include "coordination/RetryBudget.h"

#include <algorithm>

namespace anvilsaddle {

namespace {
/// An entry that was not used for this long has refilled to where a new one starts.
constexpr auto IdleTime = std::chrono::seconds(10);
/// Bounds the cost of sweeps while the capacity is exhausted.
constexpr auto SweepInterval = std::chrono::seconds(1);
} // namespace

void RetryBudget::onFirstAttempt(const CustomerName &Customer, const ServiceName &Service,
                                 TimePoint Now) {
  if (Account *Found = this->account({Customer, Service}, Now)) {
    Found->Tokens = std::min(Found->Tokens + Ratio, Burst);
  }
}

bool RetryBudget::tryTake(const CustomerName &Customer, const ServiceName &Service, TimePoint Now) {
  Account *Found = this->account({Customer, Service}, Now);
  if (!Found || Found->Tokens < 1) {
    return false;
  }
  Found->Tokens -= 1;
  return true;
}

RetryBudget::Account *RetryBudget::account(const Key &Which, TimePoint Now) {
  auto Found = this->Accounts.find(Which);
  if (Found == this->Accounts.end()) {
    if (this->Accounts.size() >= this->Capacity) {
      this->dropIdle(Now);
    }
    if (this->Accounts.size() >= this->Capacity) {
      return nullptr;
    }
    Found = this->Accounts.emplace(Which, Account{1, Now}).first;
  }
  Account &Result = Found->second;
  const double Seconds = std::chrono::duration<double>(Now - Result.Updated).count();
  Result.Tokens = std::min(Result.Tokens + ConstantRate * Seconds, Burst);
  Result.Updated = Now;
  return &Result;
}

void RetryBudget::dropIdle(TimePoint Now) {
  if (Now < this->NextSweep) {
    return;
  }
  this->NextSweep = Now + SweepInterval;
  std::erase_if(this->Accounts,
                [Now](const auto &Each) { return Now - Each.second.Updated >= IdleTime; });
}

} // namespace anvilsaddle
