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

/// Number of times from `First` on. Precondition: the times are in order.
std::size_t countSince(const std::deque<TimePoint> &Times, TimePoint First) {
  const auto Begin = std::lower_bound(Times.begin(), Times.end(), First);
  return static_cast<std::size_t>(Times.end() - Begin);
}

} // namespace

const char *toString(RetryShareReason Reason) {
  switch (Reason) {
  case RetryShareReason::KnownEntries:
    return "known entries";
  case RetryShareReason::JustStarted:
    return "just started";
  case RetryShareReason::FleetUnknown:
    return "fleet unknown";
  }
  return "unknown";
}

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

void RetryBudget::onRequestMoved(const ServiceName &Service) {
  std::deque<TimePoint> &Requests = this->Histories[Service].Requests;
  if (!Requests.empty()) {
    Requests.pop_back();
  }
}

double RetryBudget::limit(std::size_t RequestCount) const {
  const double ByRequests = this->Limits.Ratio * static_cast<double>(RequestCount);
  return UsedRatioFraction * ByRequests + this->baseShare();
}

double RetryBudget::baseShare() const {
  if (this->Share.Reason != RetryShareReason::KnownEntries) {
    return 0;
  }
  return UsedBaseFraction * this->Limits.BaseRetries / static_cast<double>(this->Share.EntryCount);
}

RetryUsages RetryBudget::usages(TimePoint Now) const {
  RetryUsages Result;
  for (const auto &[Service, Each] : this->Histories) {
    const std::size_t Requests = countSince(Each.Requests, Now - this->Limits.Window);
    const std::size_t Used = countSince(Each.Retries, Now - this->Limits.Window);
    Result[Service] = {Requests, this->limit(Requests), Used};
  }
  return Result;
}

bool RetryBudget::canAcquire(const ServiceName &Service, TimePoint Now) {
  const History &Current = this->recentHistory(Service, Now);
  return static_cast<double>(Current.Retries.size()) + 1 <= this->limit(Current.Requests.size());
}

bool RetryBudget::canAcquireHedge(const ServiceName &Service, TimePoint Now) {
  const History &Current = this->recentHistory(Service, Now);
  const double Limit = std::max(1.0, this->limit(Current.Requests.size()) * HedgeFraction);
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
