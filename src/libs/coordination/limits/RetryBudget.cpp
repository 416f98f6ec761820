#include "coordination/limits/RetryBudget.h"

namespace anvilsaddle {

namespace {

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
  return Result;
}

void RetryBudget::onRequest(const ServiceName &Service, TimePoint Now) {
  this->recentHistory(Service, Now).Requests.push_back(Now);
}

bool RetryBudget::canAcquire(const ServiceName &Service, TimePoint Now) {
  const History &Current = this->recentHistory(Service, Now);
  const double ByRequests = this->Limits.Ratio * static_cast<double>(Current.Requests.size());
  const double BaseShare = this->Limits.BaseRetries / static_cast<double>(this->EntryCount);
  return static_cast<double>(Current.Retries.size()) + 1 <= UsedFraction * (ByRequests + BaseShare);
}

bool RetryBudget::tryAcquire(const ServiceName &Service, TimePoint Now) {
  if (!this->canAcquire(Service, Now)) {
    return false;
  }
  this->Histories[Service].Retries.push_back(Now);
  return true;
}

} // namespace anvilsaddle
