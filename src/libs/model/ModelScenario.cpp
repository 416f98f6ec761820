#include "model/ModelScenario.h"

#include "protocol/TomlTable.h"

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Limit for the numbers of regions, domains per region, targets per request, and retries.
constexpr std::int64_t SmallCountLimit = 64;
/// Limit for the numbers of entries and targets per domain, and for the slots and the queue of a
/// target.
constexpr std::int64_t LargeCountLimit = 500;
constexpr double MaxRequestsPerSecond = 100'000;

std::uint32_t readCount(TomlTable &Table, const char *Key, std::uint32_t Default, std::int64_t Min,
                        std::int64_t Max) {
  return static_cast<std::uint32_t>(Table.integerOr(Key, Default, Min, Max));
}

void readFleet(TomlTable Fleet, ModelScenario &Result) {
  Result.Regions = readCount(Fleet, "regions", Result.Regions, 1, SmallCountLimit);
  Result.DomainsPerRegion =
      readCount(Fleet, "domains_per_region", Result.DomainsPerRegion, 1, SmallCountLimit);
  Result.EntriesPerDomain =
      readCount(Fleet, "entries_per_domain", Result.EntriesPerDomain, 1, LargeCountLimit);
  Result.TargetsPerDomain =
      readCount(Fleet, "targets_per_domain", Result.TargetsPerDomain, 1, LargeCountLimit);
  Result.DomainDelay = Fleet.secondsOr("domain_delay_s", Result.DomainDelay, 0s, 10s);
  Result.RegionDelay = Fleet.secondsOr("region_delay_s", Result.RegionDelay, 0s, 10s);
  Fleet.reportUnknownKeys();
}

void readTargets(TomlTable Targets, ModelScenario &Result) {
  Result.Slots = readCount(Targets, "slots", Result.Slots, 1, LargeCountLimit);
  Result.QueueLimit = readCount(Targets, "queue", Result.QueueLimit, 0, LargeCountLimit);
  Result.ProcessingTime = Targets.secondsOr("work_s", Result.ProcessingTime, 1ms, 60s);
  Result.ProcessingTimeSpread = Targets.numberOr("work_spread", Result.ProcessingTimeSpread, 0, 1);
  Result.FullFactor = Targets.numberOr("full_factor", Result.FullFactor, 1, 100);
  Result.FullOccupancy = Targets.numberOr("full_occupancy", Result.FullOccupancy, 0, 1);
  Result.NoiseShare = Targets.numberOr("noise_share", Result.NoiseShare, 0, 1);
  Result.NoiseFactor = Targets.numberOr("noise_factor", Result.NoiseFactor, 1, 100);
  Result.NoiseInterval = Targets.secondsOr("noise_interval_s", Result.NoiseInterval, 1ms, 60s);
  Targets.reportUnknownKeys();
}

void readLoad(TomlTable Load, ModelScenario &Result) {
  Result.RequestsPerSecond =
      Load.numberOr("per_second", Result.RequestsPerSecond, 0.1, MaxRequestsPerSecond);
  Result.Objective = Load.secondsOr("objective_s", Result.Objective, 1ms, 600s);
  Result.TimeLimit = Load.secondsOr("deadline_s", Result.TimeLimit, 1ms, 600s);
  Result.IdempotentShare = Load.numberOr("idempotent_share", Result.IdempotentShare, 0, 1);
  Result.MaxTargets = readCount(Load, "max_targets", Result.MaxTargets, 1, SmallCountLimit);
  Result.Retries = readCount(Load, "retries", Result.Retries, 0, SmallCountLimit);
  Result.BurstFactor = Load.numberOr("burst_factor", Result.BurstFactor, 0, 1000);
  Result.BurstStart = Load.secondsOr("burst_start_s", Result.BurstStart, 0s, 3600s);
  Result.BurstLength = Load.secondsOr("burst_length_s", Result.BurstLength, 0s, 3600s);
  Result.Length = Load.secondsOr("length_s", Result.Length, 1s, 3600s);
  Load.reportUnknownKeys();
}

} // namespace

std::variant<ModelScenario, Diagnostics> readModelScenario(std::string_view Text,
                                                           const std::string &Path) {
  Diagnostics Errors;
  const auto Parsed = parseToml(Text, Path, Errors);
  if (!Parsed) {
    return sortedDiagnostics(std::move(Errors));
  }
  ModelScenario Result;
  TomlTable Root(*Parsed, Path, Errors);
  constexpr std::int64_t MaxSeed = 1'000'000'000;
  Result.Seed = static_cast<std::uint64_t>(Root.integerOr("seed", 1, 0, MaxSeed));
  readFleet(Root.table("fleet"), Result);
  readTargets(Root.table("targets"), Result);
  readLoad(Root.table("load"), Result);
  Root.reportUnknownKeys();
  if (!Errors.empty()) {
    return sortedDiagnostics(std::move(Errors));
  }
  return Result;
}

} // namespace anvilsaddle
