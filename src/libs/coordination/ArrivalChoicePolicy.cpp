#include "coordination/ArrivalChoicePolicy.h"

#include <algorithm>

namespace anvilsaddle {

namespace {
std::size_t drawIndex(RandomSource &Random, std::size_t Count) {
  return static_cast<std::size_t>(Random.uniform() * static_cast<double>(Count));
}
} // namespace

void ArrivalChoicePolicy::setTargets(const std::vector<DispatchTarget> &Next, TimePoint) {
  this->Targets = Next;
}

EnqueueOutcome ArrivalChoicePolicy::enqueue(const QueuedRequest &Request, TimePoint) {
  this->Waiting.push_back(Request);
  return EnqueueOutcome::Queued;
}

std::vector<Assignment> ArrivalChoicePolicy::assign(TimePoint) {
  std::vector<Assignment> Result;
  std::deque<QueuedRequest> Kept;
  for (const QueuedRequest &Request : this->Waiting) {
    std::vector<TargetName> Candidates;
    for (const DispatchTarget &Each : this->Targets) {
      if (Each.Slots > 0 && !Request.Excluded.contains(Each.Target)) {
        Candidates.push_back(Each.Target);
      }
    }
    if (Candidates.empty()) {
      Kept.push_back(Request);
      continue;
    }
    const TargetName &Target = Candidates[this->choose(Candidates)];
    ++this->Busy[Target];
    this->Running.insert_or_assign(Request.Number, Target);
    Result.push_back({Request.Number, Target});
  }
  this->Waiting = std::move(Kept);
  return Result;
}

std::vector<RequestNumber> ArrivalChoicePolicy::expire(TimePoint Now) {
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

bool ArrivalChoicePolicy::cancel(RequestNumber Request, TimePoint) {
  return std::erase_if(this->Waiting,
                       [Request](const QueuedRequest &Each) { return Each.Number == Request; }) > 0;
}

void ArrivalChoicePolicy::onAttemptEnd(RequestNumber Request, const AttemptResult &, TimePoint) {
  const auto Found = this->Running.find(Request);
  if (Found == this->Running.end()) {
    return;
  }
  --this->Busy[Found->second];
  this->Running.erase(Found);
}

std::optional<TimePoint> ArrivalChoicePolicy::nextWakeup(TimePoint) const {
  const auto First = std::ranges::min_element(this->Waiting, {}, &QueuedRequest::Deadline);
  return First == this->Waiting.end() ? std::nullopt : std::optional(First->Deadline);
}

DispatchLoad ArrivalChoicePolicy::load() const {
  return {0, static_cast<std::uint32_t>(this->Waiting.size()),
          static_cast<std::uint32_t>(this->Running.size())};
}

std::vector<TargetStatus> ArrivalChoicePolicy::status() const {
  std::vector<TargetStatus> Result;
  for (const DispatchTarget &Each : this->Targets) {
    Result.push_back(
        {Each.Target, Each.Slots, Each.Slots, this->inFlight(Each.Target), Duration(0)});
  }
  return Result;
}

std::uint32_t ArrivalChoicePolicy::inFlight(const TargetName &Target) const {
  const auto Found = this->Busy.find(Target);
  return Found == this->Busy.end() ? 0 : Found->second;
}

std::size_t RandomPolicy::choose(const std::vector<TargetName> &Candidates) {
  return drawIndex(this->Random, Candidates.size());
}

std::size_t RoundRobinPolicy::choose(const std::vector<TargetName> &Candidates) {
  return this->Next++ % Candidates.size();
}

std::size_t TwoChoicesPolicy::choose(const std::vector<TargetName> &Candidates) {
  const std::size_t First = drawIndex(this->Random, Candidates.size());
  if (Candidates.size() == 1) {
    return First;
  }
  const std::size_t Step = 1 + drawIndex(this->Random, Candidates.size() - 1);
  const std::size_t Second = (First + Step) % Candidates.size();
  return this->inFlight(Candidates[Second]) < this->inFlight(Candidates[First]) ? Second : First;
}

std::size_t LeastInFlightPolicy::choose(const std::vector<TargetName> &Candidates) {
  if (Candidates.empty()) {
    return 0;
  }
  std::vector<std::size_t> Best{0};
  for (std::size_t Index = 1; Index < Candidates.size(); ++Index) {
    const std::uint32_t Count = this->inFlight(Candidates[Index]);
    if (Count > this->inFlight(Candidates[Best.front()])) {
      continue;
    }
    if (Count < this->inFlight(Candidates[Best.front()])) {
      Best.clear();
    }
    Best.push_back(Index);
  }
  return Best[drawIndex(this->Random, Best.size())];
}

} // namespace anvilsaddle
