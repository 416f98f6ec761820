#include "model/IdealPolicy.h"

#include "model/EventScheduler.h"
#include "model/ModelTargets.h"

#include <memory>
#include <utility>

namespace anvilsaddle {

IdealPolicy::IdealPolicy(const ModelScenario &Scenario, EventScheduler &Scheduler,
                         ModelTargets &Targets)
    : Scenario(Scenario), Scheduler(Scheduler), Targets(Targets) {}

void IdealPolicy::onRequest(ModelRequest Request) {
  this->Queue.push_back(std::move(Request));
  this->dispatchQueued();
}

std::optional<std::size_t> IdealPolicy::bestTarget() const {
  const double Slots = this->Scenario.Slots;
  const bool LeavesOneIdle = Slots > 1 && this->Scenario.FullFactor > Slots / (Slots - 1);
  const std::uint32_t Usable = this->Scenario.Slots - (LeavesOneIdle ? 1 : 0);
  std::optional<std::size_t> Result;
  LoadReport Best;
  for (std::size_t Index = 0; Index < this->Targets.size(); ++Index) {
    const LoadReport Load = this->Targets.load(Index);
    const bool IsBetter = !Result || Load.Slowdown < Best.Slowdown ||
                          (Load.Slowdown == Best.Slowdown && Load.Running < Best.Running);
    if (Load.Running < Usable && IsBetter) {
      Result = Index;
      Best = Load;
    }
  }
  return Result;
}

void IdealPolicy::dispatchQueued() {
  while (!this->Queue.empty()) {
    ModelRequest &Oldest = this->Queue.front();
    if (this->Scheduler.now() + Oldest.ProcessingTime >= Oldest.Attributes.Deadline) {
      const auto OnEnd = std::move(Oldest.OnEnd);
      this->Queue.pop_front();
      OnEnd(ModelOutcome::Refused, Duration(0));
      continue;
    }
    const auto Target = this->bestTarget();
    if (!Target) {
      return;
    }
    // Last in, first out: the newest request is in time if any queued request is.
    ModelRequest Next = std::move(this->Queue.back());
    this->Queue.pop_back();
    this->send(*Target, std::move(Next));
  }
}

void IdealPolicy::send(std::size_t Target, ModelRequest Request) {
  const Duration ProcessingTime = Request.ProcessingTime;
  this->Targets.send(Target, ProcessingTime,
                     [this, OnEnd = std::move(Request.OnEnd)](bool Executed) {
                       OnEnd(Executed ? ModelOutcome::Served : ModelOutcome::Refused, Duration(0));
                       this->dispatchQueued();
                     });
}

} // namespace anvilsaddle
