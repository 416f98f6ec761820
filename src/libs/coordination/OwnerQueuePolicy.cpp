#include "coordination/OwnerQueuePolicy.h"

#include <algorithm>
#include <tuple>

namespace anvilsaddle {

namespace {
/// 99% of exponential answers arrive within this many means.
constexpr double MarginRatio = 4.6;
/// Answers after which the baseline of a target counts for its group.
constexpr std::uint32_t MinSamples = 8;
} // namespace

void OwnerQueuePolicy::setTargets(const std::vector<DispatchTarget> &Targets, TimePoint Now) {
  this->Latest = Now;
  std::map<TargetName, ConcurrencyLimiter> Next;
  for (const DispatchTarget &Each : Targets) {
    const auto Known = this->Limiters.find(Each.Target);
    if (Known == this->Limiters.end()) {
      Next.emplace(Each.Target, ConcurrencyLimiter(Each.Slots));
      continue;
    }
    Known->second.setSlots(Each.Slots);
    Next.insert(this->Limiters.extract(Known));
  }
  this->Limiters = std::move(Next);
  this->refreshGroup();
}

EnqueueOutcome OwnerQueuePolicy::enqueue(const QueuedRequest &Request, TimePoint Now) {
  this->Latest = Now;
  return this->Queue.push(Request, this->estimate(Now), Now);
}

std::vector<Assignment> OwnerQueuePolicy::assign(TimePoint Now) {
  this->Latest = Now;
  std::vector<Assignment> Result;
  while (!this->Queue.empty()) {
    const std::vector<TargetName> Free = this->freeTargets(Now);
    if (Free.empty()) {
      break;
    }
    const auto Request = this->Queue.popFirst(
        [&](const QueuedRequest &Each) {
          return Each.Deadline > Now && this->pickTarget(Free, Each, Now) != nullptr;
        },
        Now);
    if (!Request) {
      break;
    }
    const TargetName Target = *this->pickTarget(Free, *Request, Now);
    this->start(*Request, Target, Now);
    Result.push_back({Request->Number, Target});
  }
  return Result;
}

void OwnerQueuePolicy::start(const QueuedRequest &Request, const TargetName &Target,
                             TimePoint Now) {
  this->Running.insert_or_assign(Request.Number, RunningAttempt{Target, Request.Customer});
  this->Limiters.at(Target).onStart(Request.Number, ++this->Busy[Target], Now);
}

std::vector<TargetName> OwnerQueuePolicy::freeTargets(TimePoint Now) const {
  // A slow target is worth its slowness only when waiting for the others takes longer.
  const double Rate = this->estimate(Now).Rate;
  const double Wait = Rate > 0 ? static_cast<double>(this->Queue.size()) / Rate * 1e6 : 0;
  std::vector<TargetName> Result;
  for (const auto &[Target, Limiter] : this->Limiters) {
    const bool UseSlow =
        Limiter.slow() && (Rate <= 0 || Wait > static_cast<double>(Limiter.recent().count()));
    if (Limiter.mayStart(this->inFlight(Target), UseSlow, Now)) {
      Result.push_back(Target);
    }
  }
  return Result;
}

const TargetName *OwnerQueuePolicy::pickTarget(const std::vector<TargetName> &Free,
                                               const QueuedRequest &Request, TimePoint Now) const {
  const TargetName *Best = nullptr;
  std::tuple<bool, std::uint32_t, Duration> BestCost;
  for (const TargetName &Target : Free) {
    if (Request.Excluded.contains(Target)) {
      continue;
    }
    const ConcurrencyLimiter &Limiter = this->Limiters.at(Target);
    const std::tuple Cost{Limiter.suspicious(Now), this->inFlight(Target), Limiter.baseline()};
    if (!Best || Cost < BestCost) {
      Best = &Target;
      BestCost = Cost;
    }
  }
  return Best;
}

std::vector<RequestNumber> OwnerQueuePolicy::expire(TimePoint Now) {
  this->Latest = Now;
  return this->Queue.expire(Now);
}

bool OwnerQueuePolicy::cancel(RequestNumber Request, TimePoint Now) {
  this->Latest = Now;
  return this->Queue.cancel(Request);
}

void OwnerQueuePolicy::onAttemptEnd(RequestNumber Request, const AttemptResult &Result,
                                    TimePoint Now) {
  this->Latest = Now;
  const auto Found = this->Running.find(Request);
  if (Found == this->Running.end()) {
    return;
  }
  const RunningAttempt Ended = Found->second;
  this->Running.erase(Found);
  this->Queue.onEnd(Ended.Customer);
  const auto Count = this->Busy.find(Ended.Target);
  if (--Count->second == 0) {
    this->Busy.erase(Count);
  }
  const auto Limiter = this->Limiters.find(Ended.Target);
  if (Limiter != this->Limiters.end()) {
    // A limiter that was made after the attempt began does not know the number and ignores it.
    Limiter->second.onEnd(Request, Result, Now);
    this->refreshGroup();
  }
}

void OwnerQueuePolicy::onFirstByte(RequestNumber Request, TimePoint Now) {
  this->Latest = Now;
  const auto Found = this->Running.find(Request);
  if (Found == this->Running.end()) {
    return;
  }
  const auto Limiter = this->Limiters.find(Found->second.Target);
  if (Limiter != this->Limiters.end()) {
    Limiter->second.onFirstByte(Request);
  }
}

std::optional<TimePoint> OwnerQueuePolicy::nextWakeup(TimePoint Now) const {
  std::optional<TimePoint> Result = this->Queue.earliestDeadline();
  if (!Result) {
    return std::nullopt;
  }
  for (const auto &[Target, Limiter] : this->Limiters) {
    if (Limiter.probeTime() > Now) {
      Result = std::min(*Result, Limiter.probeTime());
    }
  }
  return Result;
}

DispatchLoad OwnerQueuePolicy::load() const {
  DispatchLoad Result;
  Result.Queued = static_cast<std::uint32_t>(this->Queue.size());
  Result.InFlight = static_cast<std::uint32_t>(this->Running.size());
  for (const auto &[Target, Limiter] : this->Limiters) {
    const std::uint32_t Limit = Limiter.limit(this->Latest);
    const std::uint32_t Used = this->inFlight(Target);
    Result.SpareSlots += Limit > Used ? Limit - Used : 0;
  }
  return Result;
}

std::vector<TargetStatus> OwnerQueuePolicy::status() const {
  std::vector<TargetStatus> Result;
  for (const auto &[Target, Limiter] : this->Limiters) {
    Result.push_back({Target, Limiter.slots(), Limiter.limit(this->Latest), this->inFlight(Target),
                      Limiter.baseline()});
  }
  return Result;
}

std::uint32_t OwnerQueuePolicy::inFlight(const TargetName &Target) const {
  const auto Found = this->Busy.find(Target);
  return Found == this->Busy.end() ? 0 : Found->second;
}

ServiceEstimate OwnerQueuePolicy::estimate(TimePoint Now) const {
  ServiceEstimate Result;
  double Slowest = 0;
  for (const auto &[Target, Limiter] : this->Limiters) {
    const auto Recent = static_cast<double>(Limiter.recent().count());
    if (Recent <= 0 || Limiter.slow()) {
      continue;
    }
    Result.Rate += Limiter.limit(Now) * 1e6 / Recent;
    Slowest = std::max(Slowest, static_cast<double>(Limiter.baseline().count()));
  }
  Result.Margin = Duration(static_cast<std::int64_t>(MarginRatio * Slowest));
  return Result;
}

Duration OwnerQueuePolicy::groupBaseline() const {
  std::vector<Duration> Means;
  for (const auto &[Target, Limiter] : this->Limiters) {
    if (Limiter.samples() >= MinSamples) {
      Means.push_back(Limiter.ownBaseline());
    }
  }
  if (Means.empty()) {
    return Duration(0);
  }
  // The lower quartile stays right while half of the targets are cold or slow together.
  const auto Quartile = Means.begin() + static_cast<std::ptrdiff_t>((Means.size() - 1) / 4);
  std::nth_element(Means.begin(), Quartile, Means.end());
  return *Quartile;
}

void OwnerQueuePolicy::refreshGroup() {
  const Duration Group = this->groupBaseline();
  for (auto &[Target, Limiter] : this->Limiters) {
    Limiter.setGroupBaseline(Group);
  }
}

} // namespace anvilsaddle
