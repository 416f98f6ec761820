#pragma once

#include "state/Diagnostic.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace anvilsaddle {

/// What the model plays: a fleet, its targets and the requests of callers. Value type.
struct ModelScenario {
  std::uint64_t Seed = 1;

  std::uint32_t Regions = 1;
  std::uint32_t DomainsPerRegion = 2;
  std::uint32_t EntriesPerDomain = 3;
  std::uint32_t TargetsPerDomain = 7;
  /// One way between failure domains, and between regions.
  Duration DomainDelay = std::chrono::microseconds(900);
  Duration RegionDelay = std::chrono::milliseconds(30);

  std::uint32_t Slots = 3;
  /// Requests that wait at a target; it sheds more.
  std::uint32_t QueueLimit = 6;
  Duration Work = std::chrono::milliseconds(160);
  /// Work differs by up to this part, evenly.
  double WorkSpread = 0.3;
  /// Times as long while no slot is free.
  double FullFactor = 1;
  /// Part of the time in which a neighbour slows a target down, how much, and for how long.
  double NoiseShare = 0;
  double NoiseFactor = 5;
  Duration NoiseInterval = std::chrono::milliseconds(150);

  double PerSecond = 50;
  Duration Objective = std::chrono::milliseconds(400);
  Duration Deadline = std::chrono::seconds(4);
  double IdempotentShare = 1;
  std::uint32_t MaxTargets = 2;
  /// Times that a caller comes back after a refusal.
  std::uint32_t Retries = 1;
  double BurstFactor = 1;
  Duration BurstStart = std::chrono::seconds(5);
  Duration BurstLength{0};
  Duration Length = std::chrono::seconds(30);

  auto operator<=>(const ModelScenario &) const = default;
};

/// Reads a scenario from TOML; `Path` names the file in findings. All findings come together.
/// Thread-safe.
std::variant<ModelScenario, Diagnostics> readModelScenario(std::string_view Text,
                                                           const std::string &Path);

} // namespace anvilsaddle
