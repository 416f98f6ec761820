#include "coordination/OwnerQueuePolicy.h"

#include <algorithm>
#include <cstddef>

namespace anvilsaddle {

namespace {
constexpr std::size_t MaxQueueLength = 10'000;
} // namespace

void OwnerQueuePolicy::setTargets(const std::vector<DispatchTarget> &Targets, TimePoint) {
  this->Slots.clear();
  for (const DispatchTarget &Each : Targets) {
    this->Slots.emplace(Each.Target, Each.Slots);
  }
}

EnqueueOutcome OwnerQueuePolicy::enqueue(const QueuedRequest &Request, TimePoint) {
  if (this->Waiting.size() >= MaxQueueLength) {
    return EnqueueOutcome::Overloaded;
  }
  this->Waiting.push_back(Request);
  return EnqueueOutcome::Queued;
}

std::vector<Assignment> OwnerQueuePolicy::assign(TimePoint) {
  std::vector<Assignment> Result;
  for (auto Next = this->Waiting.begin(); Next != this->Waiting.end();) {
    const TargetName *Target = this->pickTarget(*Next);
    if (!Target) {
      ++Next;
      continue;
    }
    Result.push_back({Next->Number, *Target});
    this->RunningOn.emplace(Next->Number, *Target);
    ++this->Running[*Target];
    Next = this->Waiting.erase(Next);
  }
  return Result;
}

std::vector<RequestNumber> OwnerQueuePolicy::expire(TimePoint Now) {
  std::vector<RequestNumber> Result;
  std::erase_if(this->Waiting, [&](const QueuedRequest &Each) {
    if (Each.Deadline > Now) {
      return false;
    }
    Result.push_back(Each.Number);
    return true;
  });
  return Result;
}

bool OwnerQueuePolicy::cancel(RequestNumber Request, TimePoint) {
  return std::erase_if(this->Waiting,
                       [Request](const QueuedRequest &Each) { return Each.Number == Request; }) > 0;
}

void OwnerQueuePolicy::onAttemptEnd(RequestNumber Request, const AttemptResult &, TimePoint) {
  const auto Found = this->RunningOn.find(Request);
  if (Found == this->RunningOn.end()) {
    return;
  }
  const auto Count = this->Running.find(Found->second);
  if (--Count->second == 0) {
    this->Running.erase(Count);
  }
  this->RunningOn.erase(Found);
}

std::optional<TimePoint> OwnerQueuePolicy::nextWakeup(TimePoint) const {
  const auto First = std::ranges::min_element(this->Waiting, {}, &QueuedRequest::Deadline);
  if (First == this->Waiting.end()) {
    return std::nullopt;
  }
  return First->Deadline;
}

DispatchLoad OwnerQueuePolicy::load() const {
  DispatchLoad Result;
  Result.Queued = static_cast<std::uint32_t>(this->Waiting.size());
  Result.InFlight = static_cast<std::uint32_t>(this->RunningOn.size());
  for (const auto &[Target, Limit] : this->Slots) {
    const std::uint32_t Busy = this->inFlight(Target);
    Result.SpareSlots += Limit > Busy ? Limit - Busy : 0;
  }
  return Result;
}

std::vector<TargetStatus> OwnerQueuePolicy::status() const {
  std::vector<TargetStatus> Result;
  for (const auto &[Target, Limit] : this->Slots) {
    Result.push_back({Target, Limit, Limit, this->inFlight(Target), Duration(0)});
  }
  return Result;
}

std::uint32_t OwnerQueuePolicy::inFlight(const TargetName &Target) const {
  const auto Found = this->Running.find(Target);
  return Found == this->Running.end() ? 0 : Found->second;
}

const TargetName *OwnerQueuePolicy::pickTarget(const QueuedRequest &Request) const {
  const TargetName *Best = nullptr;
  std::uint32_t BestBusy = 0;
  for (const auto &[Target, Limit] : this->Slots) {
    const std::uint32_t Busy = this->inFlight(Target);
    if (Busy >= Limit || Request.Excluded.contains(Target)) {
      continue;
    }
    if (!Best || Busy < BestBusy) {
      Best = &Target;
      BestBusy = Busy;
    }
  }
  return Best;
}

} // namespace anvilsaddle
