#include "model/ModelTargets.h"

#include "coordination/membership/RendezvousHash.h"
#include "model/EventScheduler.h"

#include <algorithm>
#include <string>
#include <utility>

namespace anvilsaddle {

namespace {

/// Maps a hash to a number in [0, 1).
double toUnitInterval(std::uint64_t Hash) {
  constexpr double Range = 18446744073709551616.0;
  return static_cast<double>(Hash) / Range;
}

} // namespace

ModelTargets::ModelTargets(const ModelScenario &Scenario, EventScheduler &Scheduler)
    : Scenario(Scenario), Scheduler(Scheduler),
      States(std::size_t{Scenario.Regions} * Scenario.DomainsPerRegion *
             Scenario.TargetsPerDomain) {}

LoadReport ModelTargets::load(std::size_t Target) const {
  const State &Current = this->States[Target];
  const std::int64_t Interval =
      this->Scheduler.now().time_since_epoch() / this->Scenario.NoiseInterval;
  return {Current.Running, static_cast<std::uint32_t>(Current.Queue.size()), this->Scenario.Slots,
          this->slowdown(Target, Interval)};
}

void ModelTargets::send(std::size_t Target, Duration ProcessingTime,
                        CompletionHandler OnCompletion) {
  State &Current = this->States[Target];
  if (Current.Running < this->Scenario.Slots) {
    this->start(Target, {ProcessingTime, std::move(OnCompletion)});
    return;
  }
  if (Current.Queue.size() < this->Scenario.QueueLimit) {
    Current.Queue.push_back({ProcessingTime, std::move(OnCompletion)});
    return;
  }
  OnCompletion(false);
}

void ModelTargets::start(std::size_t Target, QueuedRequest Next) {
  ++this->States[Target].Running;
  this->Scheduler.after(this->serviceTime(Target, Next.ProcessingTime),
                        [this, Target, OnCompletion = std::move(Next.OnCompletion)] {
                          this->finish(Target, OnCompletion);
                        });
}

void ModelTargets::finish(std::size_t Target, const CompletionHandler &OnCompletion) {
  State &Current = this->States[Target];
  --Current.Running;
  if (!Current.Queue.empty()) {
    QueuedRequest Next = std::move(Current.Queue.front());
    Current.Queue.pop_front();
    this->start(Target, std::move(Next));
  }
  OnCompletion(true);
}

double ModelTargets::slowdown(std::size_t Target, std::int64_t Interval) const {
  const std::string Item = std::to_string(this->Scenario.Seed) + "/" + std::to_string(Interval);
  const double RandomValue = toUnitInterval(rendezvousScore(Item, std::to_string(Target)));
  return RandomValue < this->Scenario.NoiseShare ? this->Scenario.NoiseFactor : 1;
}

Duration ModelTargets::serviceTime(std::size_t Target, Duration ProcessingTime) const {
  const bool IsFull =
      this->States[Target].Running >= this->Scenario.FullOccupancy * this->Scenario.Slots;
  Duration Remaining = IsFull ? scaled(ProcessingTime, this->Scenario.FullFactor) : ProcessingTime;
  const Duration Step = this->Scenario.NoiseInterval;
  const TimePoint Start = this->Scheduler.now();
  std::int64_t Interval = Start.time_since_epoch() / Step;
  TimePoint Time = Start;
  while (true) {
    const double Slowdown = this->slowdown(Target, Interval);
    const TimePoint IntervalEnd{Step * (Interval + 1)};
    const Duration Progress = scaled(IntervalEnd - Time, 1 / Slowdown);
    if (Progress >= Remaining) {
      return Time + scaled(Remaining, Slowdown) - Start;
    }
    Remaining -= Progress;
    Time = IntervalEnd;
    ++Interval;
  }
}

} // namespace anvilsaddle
