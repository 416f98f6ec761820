#include "Scenario.h"

namespace anvilsaddle::bench {

std::vector<Scenario> allScenarios() {
  std::vector<Scenario> Result;
  for (const std::uint32_t Targets : {5U, 14U}) {
    const std::string Suffix = "-" + std::to_string(Targets);
    for (const int Percent : {50, 80, 95, 120}) {
      Result.push_back(
          {"load" + std::to_string(Percent) + Suffix, Targets, Percent / 100.0, Fault::None, 2});
    }
    // Five targets without one can't carry 80%, so they run at 70%.
    const double FaultLoad = Targets == 5 ? 0.7 : 0.8;
    Result.push_back({"slow" + Suffix, Targets, FaultLoad, Fault::SlowTarget, 2});
    Result.push_back({"cold" + Suffix, Targets, FaultLoad, Fault::ColdTarget, 2});
  }
  Result.push_back({"domain-of-two-14", 14, 0.7, Fault::DomainOut, 2});
  Result.push_back({"domain-of-six-12", 12, 0.7, Fault::DomainOut, 6});
  return Result;
}

std::vector<PolicyChoice> allPolicies() {
  return {{"ideal", 1},           {"owner-queue", 1},    {"random", 1},      {"random", 6},
          {"round-robin", 1},     {"round-robin", 6},    {"two-choices", 1}, {"two-choices", 6},
          {"least-in-flight", 1}, {"least-in-flight", 6}};
}

} // namespace anvilsaddle::bench
