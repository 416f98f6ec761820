// Time of accepting a settings subtree, by its size and by the size of the other subtrees, and of
// routing a request, by the number of customers.
#include "BenchmarkFleet.h"
#include "coordination/RequestHead.h"
#include "coordination/RequestRouter.h"
#include "protocol/OpenSslSealer.h"
#include "protocol/TomlSettingsParser.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

#include <benchmark/benchmark.h>

using namespace anvilsaddle;

namespace {

/// Text of team 0 of about the given number of bytes.
std::string textOfSize(std::size_t Bytes) {
  FleetSize Size;
  Size.CustomersPerTeam = 1'000'000;
  Size.Customers = 1;
  const std::size_t One = teamText(Size, 0).size();
  Size.Customers = static_cast<std::uint32_t>(std::max<std::size_t>(1, Bytes / One));
  return teamText(Size, 0);
}

void offerSubtree(benchmark::State &State) {
  const TomlSettingsParser Parser;
  SettingsStore Store(Parser);
  const std::string Text = textOfSize(static_cast<std::size_t>(State.range(0)) * 1024);
  std::uint64_t Revision = 0;
  while (State.KeepRunning()) {
    if (Store.offer("teams/team-0", ++Revision, Text).Outcome != OfferOutcome::Accepted) {
      State.SkipWithError("refused");
    }
  }
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(offerSubtree)->ArgName("kb")->Arg(1)->Arg(64)->Arg(1024)->Unit(benchmark::kMicrosecond);

/// A change of one small team beside many others: the cost should not depend on the others.
void offerSmallBesideOthers(benchmark::State &State) {
  const TomlSettingsParser Parser;
  SettingsStore Store(Parser);
  FleetSize Size;
  Size.Services = 290;
  Size.Customers = static_cast<std::uint32_t>(State.range(0));
  offerAll(Store, Size);
  const std::string Text = teamText(Size, 0);
  std::uint64_t Revision = 1;
  while (State.KeepRunning()) {
    benchmark::DoNotOptimize(Store.offer("teams/team-0", ++Revision, Text));
  }
}
BENCHMARK(offerSmallBesideOthers)
    ->ArgName("customers")
    ->Arg(10)
    ->Arg(100)
    ->Arg(3000)
    ->Unit(benchmark::kMicrosecond);

void route(benchmark::State &State) {
  const TomlSettingsParser Parser;
  const OpenSslSealer Seals("benchmark-key-0123456789");
  SettingsStore Store(Parser);
  FleetSize Size;
  Size.Services = 290;
  Size.Customers = static_cast<std::uint32_t>(State.range(0));
  Size.CustomersPerTeam = static_cast<std::uint32_t>(State.range(1));
  offerAll(Store, Size);
  const RequestRouter Router(RegionName("region-0"), Seals);
  std::uint32_t Customer = 0;
  while (State.KeepRunning()) {
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = "/route-1/item";
    Head.Authorization = authorizationOf(Size, Customer);
    // A prime step visits all customers in mixed order.
    Customer = (Customer + 1009) % Size.Customers;
    const auto Decision = Router.route(Store.snapshot(), Head);
    if (!std::holds_alternative<RoutedRequest>(Decision)) {
      State.SkipWithError("refused");
    }
  }
}
BENCHMARK(route)
    ->ArgNames({"customers", "per_team"})
    ->Args({1, 10})
    ->Args({100, 10})
    ->Args({3000, 10})
    ->Args({100, 100})
    ->Args({3000, 3000});

} // namespace
