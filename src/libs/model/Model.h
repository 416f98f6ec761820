#pragma once

#include "model/ModelResult.h"
#include "model/ModelScenario.h"

#include <string>
#include <vector>

namespace anvilsaddle {

/// Names of the policies that can be simulated.
const std::vector<std::string> &policyNames();

/// Simulates a scenario with one policy. The result is deterministic, and all policies get the same
/// requests and the same noisy neighbours. Precondition: the policy is one of policyNames().
/// Thread-safe.
ModelResult simulate(const ModelScenario &Scenario, const std::string &Policy);

} // namespace anvilsaddle
