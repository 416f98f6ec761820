#pragma once

#include "state/Diagnostic.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace anvilsaddle {

/// Parameters of a simulation: a fleet, its targets and the load from callers. Value type.
struct ModelScenario {
  std::uint64_t Seed = 1;

  std::uint32_t Regions = 1;
  std::uint32_t DomainsPerRegion = 2;
  std::uint32_t EntriesPerDomain = 3;
  std::uint32_t TargetsPerDomain = 7;
  /// One-way network latency between failure domains of a region, and between regions.
  Duration DomainDelay = std::chrono::microseconds(900);
  Duration RegionDelay = std::chrono::milliseconds(30);

  std::uint32_t Slots = 3;
  /// Length of a target's queue; the target sheds requests beyond it.
  std::uint32_t QueueLimit = 6;
  Duration ProcessingTime = std::chrono::milliseconds(160);
  /// The processing times of requests are uniformly distributed up to this fraction below and above
  /// `ProcessingTime`.
  double ProcessingTimeSpread = 0.3;
  /// Factor by which a request takes longer if it brings the target to `FullOccupancy` or above, a
  /// fraction of the slots.
  double FullFactor = 1;
  double FullOccupancy = 1;
  /// Noisy neighbours: the fraction of time in which they slow a target down, the slowdown factor,
  /// and the length of an interval.
  double NoiseShare = 0;
  double NoiseFactor = 5;
  Duration NoiseInterval = std::chrono::milliseconds(150);

  double RequestsPerSecond = 50;
  Duration Objective = std::chrono::milliseconds(400);
  /// Time after its first send at which a caller gives up.
  Duration TimeLimit = std::chrono::seconds(4);
  double IdempotentShare = 1;
  std::uint32_t MaxTargets = 2;
  /// Number of times that a caller retries after a refusal.
  std::uint32_t Retries = 1;
  double BurstFactor = 1;
  Duration BurstStart = std::chrono::seconds(5);
  Duration BurstLength{0};
  Duration Length = std::chrono::seconds(30);

  auto operator<=>(const ModelScenario &) const = default;
};

/// Reads a scenario from TOML; `Path` names the file in diagnostics. Reports all diagnostics at
/// once.
/// Thread-safe.
std::variant<ModelScenario, Diagnostics> readModelScenario(std::string_view Text,
                                                           const std::string &Path);

} // namespace anvilsaddle
