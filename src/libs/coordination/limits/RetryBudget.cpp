#include "coordination/limits/RetryBudget.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Fraction of the budget that hedges may take. A retry saves a request, a hedge only time.
constexpr double HedgeFraction = 0.5;

void dropBefore(std::deque<TimePoint> &Times, TimePoint First) {
  while (!Times.empty() && Times.front() < First) {
    Times.pop_front();
  }
}

} // namespace

RetryBudget::History &RetryBudget::recentHistory(const ServiceName &Service, TimePoint Now) {
  History &Result = this->Histories[Service];
  dropBefore(Result.Requests, Now - this->Limits.Window);
  dropBefore(Result.Retries, Now - this->Limits.Window);
  dropBefore(Result.Hedges, Now - this->Limits.Window);
  return Result;
}

void RetryBudget::onRequest(const ServiceName &Service, TimePoint Now) {
  this->recentHistory(Service, Now).Requests.push_back(Now);
}

double RetryBudget::limit(const History &Current) const {
  const double ByRequests = this->Limits.Ratio * static_cast<double>(Current.Requests.size());
  const double BaseShare = this->Limits.BaseRetries / static_cast<double>(this->EntryCount);
  return UsedFraction * (ByRequests + BaseShare);
}

bool RetryBudget::canAcquire(const ServiceName &Service, TimePoint Now) {
  const History &Current = this->recentHistory(Service, Now);
  return static_cast<double>(Current.Retries.size()) + 1 <= this->limit(Current);
}

bool RetryBudget::canAcquireHedge(const ServiceName &Service, TimePoint Now) {
  const History &Current = this->recentHistory(Service, Now);
  const double Limit = std::max(1.0, this->limit(Current) * HedgeFraction);
  return static_cast<double>(Current.Hedges.size()) + 1 <= Limit && this->canAcquire(Service, Now);
}

bool RetryBudget::tryAcquireHedge(const ServiceName &Service, TimePoint Now) {
  if (!this->canAcquireHedge(Service, Now)) {
    return false;
  }
  History &Current = this->Histories[Service];
  Current.Retries.push_back(Now);
  Current.Hedges.push_back(Now);
  return true;
}

bool RetryBudget::tryAcquire(const ServiceName &Service, TimePoint Now) {
  if (!this->canAcquire(Service, Now)) {
    return false;
  }
  this->Histories[Service].Retries.push_back(Now);
  return true;
}

} // namespace anvilsaddle
