// Time of computing all groups from settings and VM list, and of rendezvous scores.
#include "BenchmarkFleet.h"
#include "coordination/GroupMap.h"
#include "coordination/RendezvousHash.h"
#include "protocol/TomlSettingsParser.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

using namespace anvilsaddle;

namespace {

void groups(benchmark::State &State) {
  const TomlSettingsParser Parser;
  SettingsStore Store(Parser);
  FleetSize Size;
  Size.Services = 290;
  Size.Regions = 4;
  Size.DomainsPerRegion = 3;
  Size.Entries = 20;
  Size.Targets = static_cast<std::uint32_t>(State.range(0));
  offerAll(Store, Size);
  const VmList Vms = makeVmList(Size);
  while (State.KeepRunning()) {
    benchmark::DoNotOptimize(computeGroups(Store.snapshot(), Vms));
  }
}
BENCHMARK(groups)->ArgName("targets")->Arg(70)->Arg(700)->Arg(6900)->Unit(benchmark::kMicrosecond);

/// Choice of the highest score among entries, as for one lessor or owner.
void highestScore(benchmark::State &State) {
  std::vector<std::string> Candidates;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
    Candidates.push_back("entry-" + std::to_string(Index));
  }
  while (State.KeepRunning()) {
    std::uint64_t Best = 0;
    for (const std::string &Candidate : Candidates) {
      Best = std::max(Best, rendezvousScore("target-17/service-3", Candidate));
    }
    benchmark::DoNotOptimize(Best);
  }
}
BENCHMARK(highestScore)->ArgName("candidates")->Arg(5)->Arg(20)->Arg(500);

} // namespace
