// Processor time of one request through EntryNode: admission, queue, choice of a target and end.
#include "BenchmarkFleet.h"
#include "coordination/EntryNode.h"
#include "protocol/OpenSslSealer.h"
#include "protocol/TomlSettingsParser.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <benchmark/benchmark.h>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// An entry that is alone in its installation, with settings, a VM list and usable targets.
class SingleEntry {
public:
  explicit SingleEntry(const FleetSize &Size) : Size(Size) {
    const EntryIdentity Self{
        VmName("entry-0"), RegionName("region-0"), FailureDomainName("region-0-0"), {1, 1}};
    this->Node =
        std::make_unique<EntryNode>(Self, this->Parser, this->Seals, this->Random, this->Now);
    this->Node->onSettings("platform", 1, platformText(Size), std::nullopt, this->Now);
    for (std::uint32_t Team = 0; Team < teamCount(Size); ++Team) {
      this->Node->onSettings("teams/team-" + std::to_string(Team), 1, teamText(Size, Team),
                             std::nullopt, this->Now);
    }
    this->Node->onVmList(makeVmList(Size), this->Now);
    this->Node->takeEffects();
    for (std::uint32_t Route = 0; Route < Size.RoutesPerCustomer; ++Route) {
      RequestHead Head;
      Head.Method = "GET";
      Head.Path = requestPath(Size, 0, Route);
      Head.Authorization = authorizationOf(Size, 0);
      this->Heads.push_back(std::move(Head));
    }
  }

  /// Returns the number of attempts that the request caused.
  std::uint32_t runRequest(std::uint32_t Number) {
    constexpr Duration Pause = 10us;
    this->Now += Pause;
    benchmark::DoNotOptimize(
        this->Node->onRequest(this->Heads[Number % this->Heads.size()], this->Now));
    return this->endAttempts();
  }

  /// Lets virtual time pass until every route's service has a target that may be used.
  bool warmUp() {
    constexpr int MostSteps = 2000;
    constexpr Duration Step = 10ms;
    std::uint32_t InARow = 0;
    for (int Index = 0; Index < MostSteps && InARow < this->Heads.size(); ++Index) {
      this->Now += Step;
      this->Node->onTick(this->Now);
      // Requests that waited for a lease start now.
      this->endAttempts();
      InARow = this->runRequest(InARow) > 0 ? InARow + 1 : 0;
    }
    return InARow >= this->Heads.size();
  }

  void tick() {
    this->Now += 5ms;
    this->Node->onTick(this->Now);
    this->endAttempts();
  }

  void answerEntries() {
    benchmark::DoNotOptimize(this->Node->entriesFor(this->Heads.front().Authorization, this->Now));
  }

  void changeTeam(std::uint64_t Revision) {
    this->Node->onSettings("teams/team-0", Revision, teamText(this->Size, 0), std::nullopt,
                           this->Now);
    this->Node->takeEffects();
  }

  void changeVmList(VmList &List) {
    ++List.Revision;
    this->Node->onVmList(List, this->Now);
    this->Node->takeEffects();
  }

private:
  /// Answers all attempts that the node has started and returns their number.
  std::uint32_t endAttempts() {
    constexpr Duration Answer = 10us;
    std::uint32_t Attempts = 0;
    for (auto Effects = this->Node->takeEffects(); !Effects.empty();
         Effects = this->Node->takeEffects()) {
      for (const Effect &Next : Effects) {
        if (const auto *Attempt = std::get_if<StartAttempt>(&Next)) {
          AttemptReport Report;
          Report.Status = 200;
          Report.FirstByte = Answer;
          Report.Total = Answer;
          this->Node->onAttemptEnd(Attempt->Request, Report, this->Now);
          ++Attempts;
        }
      }
    }
    return Attempts;
  }

  FleetSize Size;
  TimePoint Now{std::chrono::hours(1)};
  TomlSettingsParser Parser;
  OpenSslSealer Seals{"benchmark-key-0123456789"};
  FixedRandom Random;
  std::unique_ptr<EntryNode> Node;
  std::vector<RequestHead> Heads;
};

FleetSize sizeOf(const benchmark::State &State) {
  FleetSize Size;
  Size.Targets = static_cast<std::uint32_t>(State.range(0));
  Size.Services = static_cast<std::uint32_t>(State.range(1));
  Size.RoutesPerCustomer = std::min(Size.Services, 10u);
  return Size;
}

void request(benchmark::State &State) {
  SingleEntry Entry(sizeOf(State));
  if (!Entry.warmUp()) {
    State.SkipWithError("no usable target after the warm-up");
    return;
  }
  std::uint32_t Number = 0;
  std::uint64_t Attempts = 0;
  while (State.KeepRunning()) {
    Attempts += Entry.runRequest(Number++);
  }
  State.SetItemsProcessed(State.iterations());
  State.counters["attempts_per_request"] =
      static_cast<double>(Attempts) / static_cast<double>(State.iterations());
}

void tick(benchmark::State &State) {
  SingleEntry Entry(sizeOf(State));
  if (!Entry.warmUp()) {
    State.SkipWithError("no usable target after the warm-up");
    return;
  }
  while (State.KeepRunning()) {
    Entry.tick();
  }
}

/// Answer to GET /v1/entries with 20 entries and a ticket.
void addressAnswer(benchmark::State &State) {
  FleetSize Size = sizeOf(State);
  Size.Entries = 20;
  Size.Regions = 4;
  SingleEntry Entry(Size);
  while (State.KeepRunning()) {
    Entry.answerEntries();
  }
}

void settingsChange(benchmark::State &State) {
  SingleEntry Entry(sizeOf(State));
  std::uint64_t Revision = 1;
  while (State.KeepRunning()) {
    Entry.changeTeam(++Revision);
  }
}

void vmListChange(benchmark::State &State) {
  const FleetSize Size = sizeOf(State);
  SingleEntry Entry(Size);
  VmList List = makeVmList(Size);
  while (State.KeepRunning()) {
    Entry.changeVmList(List);
  }
}

void allSizes(benchmark::internal::Benchmark *Each) {
  Each->ArgNames({"targets", "services"})
      ->Args({10, 10})
      ->Args({100, 10})
      ->Args({1000, 10})
      ->Args({1000, 100})
      ->Args({1000, 290});
}

BENCHMARK(request)->Apply(allSizes);
BENCHMARK(tick)->Apply(allSizes);
BENCHMARK(addressAnswer)->Apply(allSizes)->Args({6900, 290});
BENCHMARK(settingsChange)->Apply(allSizes);
BENCHMARK(vmListChange)->Apply(allSizes);

} // namespace
