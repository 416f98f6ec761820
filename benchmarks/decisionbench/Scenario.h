#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anvilsaddle::bench {

enum class Fault { None, SlowTarget, ColdTarget, DomainOut };

/// One load and fault pattern. Faults begin after a third of the time; a slow target recovers and
/// a domain returns after two thirds.
struct Scenario {
  std::string Name;
  std::uint32_t Targets = 5;
  double Load = 0.5;
  Fault Kind = Fault::None;
  std::uint32_t Domains = 2;
  /// Fraction of the requests that are bulk.
  double BulkPart = 0.2;
  /// All requests are of one customer, so that one class is served first come, first served.
  bool OneCustomer = false;
};

struct PolicyChoice {
  std::string Name;
  /// Entries that decide alone.
  std::uint32_t Entries = 1;
};

std::vector<Scenario> allScenarios();
std::vector<PolicyChoice> allPolicies();

} // namespace anvilsaddle::bench
