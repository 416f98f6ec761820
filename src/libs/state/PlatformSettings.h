#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilsaddle {

struct FailureDomain {
  FailureDomainName Name;
  RegionName Region;
  /// Set by operators; a domain taken out gets no new work.
  bool TakenOut = false;

  auto operator<=>(const FailureDomain &) const = default;
};

struct Service {
  ServiceName Name;
  /// Upper bound of concurrent requests on one target.
  std::uint32_t Slots = 3;
  /// Longest deadline of any request; a lessor waits this long after a lease expired unreleased.
  Duration MaxDeadline = std::chrono::seconds(2);
  std::string HealthPath = "/health";
  /// True if a shed answer (503 with Retry-After) of this service guarantees that nothing ran.
  bool ShedIsNotRun = false;
  /// Groups with more targets are split into shards.
  std::uint32_t TargetsPerShard = 24;

  auto operator<=>(const Service &) const = default;
};

/// Content of the path `platform`. Value type.
struct PlatformSettings {
  std::vector<RegionName> Regions;
  std::vector<FailureDomain> FailureDomains;
  std::vector<Service> Services;

  auto operator<=>(const PlatformSettings &) const = default;
};

} // namespace anvilsaddle
