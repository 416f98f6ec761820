#include "coordination/RetryBudget.h"

namespace anvilsaddle {

namespace {

void dropBefore(std::deque<TimePoint> &Times, TimePoint First) {
  while (!Times.empty() && Times.front() < First) {
    Times.pop_front();
  }
}

} // namespace

RetryBudget::Account &RetryBudget::trimmed(const ServiceName &Service, TimePoint Now) {
  Account &Result = this->Accounts[Service];
  dropBefore(Result.Requests, Now - this->Terms.Window);
  dropBefore(Result.Retries, Now - this->Terms.Window);
  return Result;
}

void RetryBudget::onRequest(const ServiceName &Service, TimePoint Now) {
  this->trimmed(Service, Now).Requests.push_back(Now);
}

bool RetryBudget::hasRoom(const ServiceName &Service, TimePoint Now) {
  const Account &Current = this->trimmed(Service, Now);
  const double ByRequests = this->Terms.Ratio * static_cast<double>(Current.Requests.size());
  const double ByShare = this->Terms.BaseRetries / static_cast<double>(this->Entries);
  return static_cast<double>(Current.Retries.size()) + 1 <= UsedPart * (ByRequests + ByShare);
}

bool RetryBudget::tryTake(const ServiceName &Service, TimePoint Now) {
  if (!this->hasRoom(Service, Now)) {
    return false;
  }
  this->Accounts[Service].Retries.push_back(Now);
  return true;
}

} // namespace anvilsaddle
