// Bytes of heap memory for each target, customer and idempotency key. The counters are exact; the
// times only say how long it takes to build the state.
#include "AllocationCounter.h"
#include "BenchmarkFleet.h"
#include "coordination/EntryNode.h"
#include "coordination/KeyLedger.h"
#include "protocol/OpenSslSealer.h"
#include "protocol/TomlSettingsParser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <benchmark/benchmark.h>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// Builds a state in each iteration and reports its memory, divided by the number of elements.
void measure(benchmark::State &State, std::int64_t Elements,
             const std::function<std::function<void()>()> &Build) {
  while (State.KeepRunning()) {
    const std::int64_t BytesBefore = liveBytes();
    const std::int64_t AllocationsBefore = liveAllocations();
    const std::function<void()> Keep = Build();
    const auto Count = static_cast<double>(Elements);
    State.counters["bytes"] = static_cast<double>(liveBytes() - BytesBefore);
    State.counters["bytes_each"] = static_cast<double>(liveBytes() - BytesBefore) / Count;
    State.counters["allocations_each"] =
        static_cast<double>(liveAllocations() - AllocationsBefore) / Count;
  }
}

/// Whole entry with settings and a VM list; 290 services in four regions as in the design scale.
void entryByTargets(benchmark::State &State) {
  const TomlSettingsParser Parser;
  const OpenSslSealer Seals("benchmark-key-0123456789");
  FixedRandom Random;
  FleetSize Size;
  Size.Services = 290;
  Size.Regions = 4;
  Size.DomainsPerRegion = 3;
  Size.Entries = 20;
  Size.Targets = static_cast<std::uint32_t>(State.range(0));
  const std::string Platform = platformText(Size);
  measure(State, State.range(0), [&] {
    auto Node = std::make_shared<EntryNode>(
        EntryIdentity{
            VmName("entry-0"), RegionName("region-0"), FailureDomainName("region-0-0"), {1, 1}},
        Parser, Seals, Random, TimePoint(1h));
    Node->onSettings("platform", 1, Platform, std::nullopt, TimePoint(1h));
    Node->onVmList(makeVmList(Size), TimePoint(1h));
    Node->takeEffects();
    return [Node] {};
  });
}
BENCHMARK(entryByTargets)->ArgName("targets")->Arg(70)->Arg(700)->Arg(6900)->Iterations(3);

void settingsByCustomers(benchmark::State &State) {
  const TomlSettingsParser Parser;
  FleetSize Size;
  Size.Services = 290;
  Size.Customers = static_cast<std::uint32_t>(State.range(0));
  measure(State, State.range(0), [&] {
    auto Store = std::make_shared<SettingsStore>(Parser);
    offerAll(*Store, Size);
    return [Store] {};
  });
}
BENCHMARK(settingsByCustomers)->ArgName("customers")->Arg(10)->Arg(100)->Arg(3000)->Iterations(3);

void ledgerByKeys(benchmark::State &State) {
  const std::string Ticket = "entry-1.1764845000000.1234567890123456789.3600000000."
                             "0123456789abcdef0123456789abcdef.";
  measure(State, State.range(0), [&] {
    auto Ledger = std::make_shared<KeyLedger>(1'000'000);
    for (std::int64_t Number = 0; Number < State.range(0); ++Number) {
      Ledger->begin(CustomerName("press.line"), Ticket + std::to_string(Number),
                    TimePoint(1h) + Number * 1us, TimePoint());
    }
    return [Ledger] {};
  });
}
BENCHMARK(ledgerByKeys)->ArgName("keys")->Arg(1'000)->Arg(10'000)->Arg(100'000)->Iterations(3);

} // namespace
