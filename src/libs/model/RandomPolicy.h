#pragma once

#include "coordination/RandomSource.h"
#include "model/ModelPolicy.h"

namespace anvilsaddle {

class ModelTargets;

/// Baseline: sends each request to a uniformly random target, without probes. Not thread-safe.
class RandomPolicy final : public ModelPolicy {
public:
  /// Precondition: the targets and the random source outlive the policy.
  RandomPolicy(ModelTargets &Targets, RandomSource &Random) : Targets(Targets), Random(Random) {}

  void onRequest(ModelRequest Request) override;

private:
  ModelTargets &Targets;
  RandomSource &Random;
};

} // namespace anvilsaddle
