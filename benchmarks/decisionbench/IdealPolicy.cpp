#include "IdealPolicy.h"

#include <algorithm>
#include <tuple>

namespace anvilsaddle::bench {

void IdealPolicy::setTargets(const std::vector<DispatchTarget> &Targets, TimePoint) {
  this->Usable.clear();
  for (const DispatchTarget &Each : Targets) {
    this->Usable.insert(Each.Target);
  }
}

EnqueueOutcome IdealPolicy::enqueue(const QueuedRequest &Request, TimePoint Now) {
  ServiceEstimate Service{0, Duration(static_cast<std::int64_t>(4.6 * MeanService))};
  for (const FakeTarget &Each : this->Truth) {
    if (this->Usable.contains(Each.name()) && !Each.slow()) {
      Service.Rate += Each.bears(Now) * 1e6 / (MeanService * Each.timeFactor());
    }
  }
  return this->Queue.push(Request, Service, Now);
}

std::vector<Assignment> IdealPolicy::assign(TimePoint Now) {
  std::vector<Assignment> Result;
  // Without this, a full system would scan the whole queue at each event.
  while (this->pick(QueuedRequest{}, Now)) {
    const auto Request = this->Queue.popFirst(
        [&](const QueuedRequest &Each) { return this->pick(Each, Now) != nullptr; }, Now);
    if (!Request) {
      break;
    }
    const TargetName &Target = this->pick(*Request, Now)->name();
    ++this->Busy[Target];
    this->Running.insert_or_assign(Request->Number, Run{Target, Request->Customer});
    Result.push_back({Request->Number, Target});
  }
  return Result;
}

const FakeTarget *IdealPolicy::pick(const QueuedRequest &Request, TimePoint Now) const {
  const FakeTarget *Best = nullptr;
  std::pair<double, std::uint32_t> BestCost;
  for (const FakeTarget &Each : this->Truth) {
    const std::uint32_t Count = this->inFlight(Each.name());
    if (Each.slow() || Count >= Each.bears(Now) || !this->Usable.contains(Each.name()) ||
        Request.Excluded.contains(Each.name())) {
      continue;
    }
    const std::pair Cost{Each.timeFactor(), Count};
    if (!Best || Cost < BestCost) {
      Best = &Each;
      BestCost = Cost;
    }
  }
  return Best;
}

std::vector<RequestNumber> IdealPolicy::expire(TimePoint Now) { return this->Queue.expire(Now); }

bool IdealPolicy::cancel(RequestNumber Request, TimePoint) { return this->Queue.cancel(Request); }

void IdealPolicy::onAttemptEnd(RequestNumber Request, const AttemptResult &, TimePoint) {
  const auto Found = this->Running.find(Request);
  if (Found == this->Running.end()) {
    return;
  }
  --this->Busy[Found->second.Target];
  this->Queue.onEnd(Found->second.Customer);
  this->Running.erase(Found);
}

std::optional<TimePoint> IdealPolicy::nextWakeup(TimePoint) const {
  return this->Queue.earliestDeadline();
}

std::uint32_t IdealPolicy::inFlight(const TargetName &Target) const {
  const auto Found = this->Busy.find(Target);
  return Found == this->Busy.end() ? 0 : Found->second;
}

} // namespace anvilsaddle::bench
