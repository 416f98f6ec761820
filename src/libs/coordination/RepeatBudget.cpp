#include "coordination/RepeatBudget.h"

namespace anvilsaddle {

namespace {

void dropBefore(std::deque<TimePoint> &Times, TimePoint First) {
  while (!Times.empty() && Times.front() < First) {
    Times.pop_front();
  }
}

} // namespace

RepeatBudget::Account &RepeatBudget::trimmed(const ServiceName &Service, TimePoint Now) {
  Account &Result = this->Accounts[Service];
  dropBefore(Result.Requests, Now - this->Terms.Window);
  dropBefore(Result.Repeats, Now - this->Terms.Window);
  return Result;
}

void RepeatBudget::onRequest(const ServiceName &Service, TimePoint Now) {
  this->trimmed(Service, Now).Requests.push_back(Now);
}

bool RepeatBudget::hasRoom(const ServiceName &Service, TimePoint Now) {
  const Account &Current = this->trimmed(Service, Now);
  const double ByRequests = this->Terms.Ratio * static_cast<double>(Current.Requests.size());
  const double ByShare = this->Terms.Extra / static_cast<double>(this->Entries);
  return static_cast<double>(Current.Repeats.size()) + 1 <= UsedPart * (ByRequests + ByShare);
}

bool RepeatBudget::tryTake(const ServiceName &Service, TimePoint Now) {
  if (!this->hasRoom(Service, Now)) {
    return false;
  }
  this->Accounts[Service].Repeats.push_back(Now);
  return true;
}

} // namespace anvilsaddle
