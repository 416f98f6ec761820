#include "model/Model.h"
#include "state/TextFile.h"

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

using namespace anvilsaddle;

namespace {

constexpr int FindingsExit = 1;
constexpr int UsageExit = 2;

struct Options {
  std::string Scenario;
  std::vector<std::string> Policies = modelPolicies();
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
    const ModelSecond Total = Each.total();
    std::cout << Each.Policy << ": " << Total.Asked << " asked, " << Total.InTime << " in time, "
              << Total.Late << " late, " << Total.Refused << " refused, " << Total.Failed
              << " failed, " << Each.ProbesPerRequest << " probes a request\n";
  }
}

int play(const Options &Chosen) {
  const auto Text = readTextFile(Chosen.Scenario);
  if (!Text) {
    std::cerr << "anvilsaddle-model: cannot read " << Chosen.Scenario << '\n';
    return UsageExit;
  }
  const auto Read = readModelScenario(*Text, Chosen.Scenario);
  if (const auto *Problems = std::get_if<Diagnostics>(&Read)) {
    for (const Diagnostic &Each : *Problems) {
      std::cerr << toString(Each) << '\n';
    }
    return FindingsExit;
  }
  std::vector<ModelResult> Results;
  for (const std::string &Policy : Chosen.Policies) {
    Results.push_back(playModel(std::get<ModelScenario>(Read), Policy));
  }
  writeSummary(Results);
  const bool IsWritten =
      writeFile(Chosen.TsvPath, toTsv(Results)) && writeFile(Chosen.SvgPath, toSvg(Results));
  return IsWritten ? 0 : UsageExit;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Plays a fleet with its targets and callers under several policies, on a virtual "
               "clock, and tells how callers fare.",
               "anvilsaddle-model");
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  App.footer(
      "Exit codes: 0 fine, 1 findings in the scenario, 2 wrong usage or a file that can't be "
      "written.");
  Options Chosen;
  App.add_option("scenario", Chosen.Scenario, "Scenario file (TOML)")
      ->required()
      ->check(CLI::ExistingFile);
  App.add_option("-p,--policy", Chosen.Policies, "Policies to play; all if none is named")
      ->check(CLI::IsMember(modelPolicies()));
  App.add_option("--tsv", Chosen.TsvPath, "Write the counts of each second as tab-separated text");
  App.add_option("--svg", Chosen.SvgPath, "Write a plot of the share served in time");
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : UsageExit;
  }
  return play(Chosen);
}
