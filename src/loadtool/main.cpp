#include "loadtool/LoadRun.h"
#include "loadtool/Scenario.h"
#include "protocol/VmListJson.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <variant>

#include <CLI/CLI.hpp>

using namespace anvilsaddle;

namespace {

constexpr int ExitError = 2;
constexpr int ExitViolation = 3;

struct CommandLine {
  std::string ScenarioFile;
  std::string VmFile;
  std::string OutputFile;
  std::optional<std::uint32_t> Rate;
  std::optional<std::uint32_t> Count;
  std::optional<std::uint64_t> Seed;
  LoadOptions Options;
};

std::string readFile(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

void print(const Findings &Problems) {
  for (const Finding &Each : Problems) {
    std::cerr << toString(Each) << '\n';
  }
}

/// Takes entries and targets from a VM list. Returns false after printing findings.
bool addVms(CommandLine &Given) {
  if (Given.VmFile.empty()) {
    return true;
  }
  const auto Parsed = readVmList(readFile(Given.VmFile), Given.VmFile);
  if (const auto *Problems = std::get_if<Findings>(&Parsed)) {
    print(*Problems);
    return false;
  }
  const bool NoEntries = Given.Options.Entries.empty();
  for (const Vm &Each : std::get<VmList>(Parsed).Vms) {
    if (Each.Role == VmRole::Target) {
      Given.Options.Targets.push_back(Each);
    } else if (NoEntries) {
      Given.Options.Entries.push_back(Each.Address + ":" + std::to_string(Each.Port));
    }
  }
  return true;
}

void printKeys(const std::string &Title, const std::vector<std::string> &Keys) {
  constexpr std::size_t MostShown = 5;
  std::cout << Title << ": " << Keys.size() << '\n';
  for (std::size_t Index = 0; Index < std::min(MostShown, Keys.size()); ++Index) {
    std::cout << "  " << Keys[Index] << '\n';
  }
}

int reportKeys(LoadRun &Run) {
  const auto Result = Run.checkKeys();
  if (!Result) {
    std::cerr << "keys not checked: a target does not answer GET /standin/counts\n";
    return ExitError;
  }
  if (Result->Keys == 0) {
    return Result->holds() ? 0 : ExitViolation;
  }
  std::cout << "idempotency keys: " << Result->Keys << '\n';
  printKeys("ran more than once", Result->RanTwice);
  printKeys("answered \"not run\" but ran", Result->RanThoughNotRun);
  printKeys("answered by a target but not counted by one", Result->AnsweredWithoutRun);
  return Result->holds() ? 0 : ExitViolation;
}

int runLoad(CommandLine &Given) {
  auto Parsed = readScenario(readFile(Given.ScenarioFile), Given.ScenarioFile);
  if (const auto *Problems = std::get_if<Findings>(&Parsed)) {
    print(*Problems);
    return ExitError;
  }
  if (!addVms(Given)) {
    return ExitError;
  }
  auto &Plan = std::get<Scenario>(Parsed);
  Plan.Rate = Given.Rate.value_or(Plan.Rate);
  Plan.Count = Given.Count.value_or(Plan.Count);
  Plan.Seed = Given.Seed.value_or(Plan.Seed);
  const LoadOptions &Options = Given.Options;
  if (Options.Direct ? Options.Targets.empty() : Options.Entries.empty()) {
    std::cerr << "no " << (Options.Direct ? "targets" : "entries") << " given\n";
    return ExitError;
  }
  LoadRun Run(Plan, Options);
  if (const std::string Error = Run.prepare(); !Error.empty()) {
    std::cerr << Error << '\n';
    return ExitError;
  }
  Run.run();
  std::cout << Run.report().table(Run.elapsed());
  if (!Given.OutputFile.empty()) {
    std::ofstream Output(Given.OutputFile);
    Output << Run.report().tsv(Run.elapsed());
    if (!Output.flush()) {
      std::cerr << "cannot write " << Given.OutputFile << '\n';
      return ExitError;
    }
  }
  return Options.Targets.empty() ? 0 : reportKeys(Run);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Load and experiment tool: open-loop requests to entries or targets. Exit status 3 "
               "if a key ran twice or ran though refused as \"not run\".");
  CommandLine Given;
  App.add_option("--scenario", Given.ScenarioFile, "Scenario in TOML")
      ->required()
      ->check(CLI::ExistingFile);
  App.add_option("--entry", Given.Options.Entries, "Entries to ask first, <address>:<port>");
  App.add_option("--vms", Given.VmFile,
                 "VM list in JSON: entries to ask first, and targets for --direct and for the "
                 "check of idempotency keys")
      ->check(CLI::ExistingFile);
  App.add_option("--rate", Given.Rate, "Requests a second, in place of the scenario's");
  App.add_option("--count", Given.Count, "Number of requests, in place of the scenario's");
  App.add_option("--seed", Given.Seed, "Seed of gaps and kinds, in place of the scenario's");
  App.add_option("--ticket", Given.Options.Ticket,
                 "Ticket for all keys; with an equal seed, a second run repeats the keys of the "
                 "first");
  App.add_flag("--direct", Given.Options.Direct, "Send to targets drawn at random");
  App.add_option("--follow", Given.Options.MaxFollows,
                 "Most repeated sends after a refusal as \"not run\", following "
                 "Anvilsaddle-Entries and Retry-After");
  App.add_option("--output", Given.OutputFile, "File for the report as tab-separated values");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return runLoad(Given);
}
