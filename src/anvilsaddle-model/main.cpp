#include "model/Model.h"
#include "state/TextFile.h"

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

using namespace anvilsaddle;

namespace {

constexpr int FindingsExitCode = 1;
constexpr int UsageExitCode = 2;

struct Options {
  std::string Scenario;
  std::vector<std::string> Policies = policyNames();
  std::string TsvPath;
  std::string SvgPath;
};

bool writeFile(const std::string &Path, const std::string &Text) {
  if (Path.empty()) {
    return true;
  }
  std::ofstream Stream(Path, std::ios::binary);
  Stream << Text;
  Stream.close();
  if (!Stream) {
    std::cerr << "anvilsaddle-model: cannot write " << Path << '\n';
  }
  return static_cast<bool>(Stream);
}

void writeSummary(const std::vector<ModelResult> &Results) {
  for (const ModelResult &Each : Results) {
    const OutcomeCounts Total = Each.total();
    std::cout << Each.Policy << ": " << Total.Requests << " asked, " << Total.WithinObjective
              << " in time, " << Total.AfterObjective << " late, " << Total.Refused << " refused, "
              << Total.Failed << " failed, " << Each.ProbesPerRequest << " probes a request\n";
  }
}

int runSimulations(const Options &ParsedOptions) {
  const auto Text = readTextFile(ParsedOptions.Scenario);
  if (!Text) {
    std::cerr << "anvilsaddle-model: cannot read " << ParsedOptions.Scenario << '\n';
    return UsageExitCode;
  }
  const auto ScenarioOrErrors = readModelScenario(*Text, ParsedOptions.Scenario);
  if (const auto *Errors = std::get_if<Diagnostics>(&ScenarioOrErrors)) {
    for (const Diagnostic &Each : *Errors) {
      std::cerr << toString(Each) << '\n';
    }
    return FindingsExitCode;
  }
  std::vector<ModelResult> Results;
  for (const std::string &Policy : ParsedOptions.Policies) {
    Results.push_back(simulate(std::get<ModelScenario>(ScenarioOrErrors), Policy));
  }
  writeSummary(Results);
  const bool IsWritten = writeFile(ParsedOptions.TsvPath, toTsv(Results)) &&
                         writeFile(ParsedOptions.SvgPath, toSvg(Results));
  return IsWritten ? 0 : UsageExitCode;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Simulates a fleet with its targets and callers under several load balancing "
               "policies on a virtual clock, and prints the outcomes of the requests.",
               "anvilsaddle-model");
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  App.footer(
      "Exit codes: 0 success, 1 errors in the scenario, 2 wrong usage or a file that cannot be "
      "read or written.");
  Options ParsedOptions;
  App.add_option("scenario", ParsedOptions.Scenario, "Scenario file (TOML)")
      ->required()
      ->check(CLI::ExistingFile);
  App.add_option("-p,--policy", ParsedOptions.Policies,
                 "Policies to simulate; all policies if none is given")
      ->check(CLI::IsMember(policyNames()));
  App.add_option("--tsv", ParsedOptions.TsvPath,
                 "Write the counts of each second as tab-separated values");
  App.add_option("--svg", ParsedOptions.SvgPath,
                 "Write an SVG plot of the share of requests served in time");
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : UsageExitCode;
  }
  return runSimulations(ParsedOptions);
}
