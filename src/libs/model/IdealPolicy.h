#pragma once

#include "model/ModelPolicy.h"
#include "model/ModelScenario.h"

#include <deque>
#include <optional>

namespace anvilsaddle {

class EventScheduler;
class ModelTargets;

/// Knows the current state of all targets without probes or latency, and has one queue for the
/// whole fleet. An upper bound for what entries with partial, delayed information can achieve. Not
/// thread-safe.
class IdealPolicy final : public ModelPolicy {
public:
  /// Precondition: the scheduler and the targets outlive the policy.
  IdealPolicy(const ModelScenario &Scenario, EventScheduler &Scheduler, ModelTargets &Targets);

  void onRequest(ModelRequest Request) override;

private:
  std::optional<std::size_t> bestTarget() const;
  void dispatchQueued();
  void send(std::size_t Target, ModelRequest Request);

  ModelScenario Scenario;
  EventScheduler &Scheduler;
  ModelTargets &Targets;
  std::deque<ModelRequest> Queue;
};

} // namespace anvilsaddle
