#include "Report.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

using namespace anvilsaddle::bench;

namespace {
struct Options {
  std::string Output;
  std::string Only;
  std::uint64_t Seed = 1;
  double Seconds = 30;
  double BulkPart = 0.2;
  bool OneCustomer = false;
  unsigned Threads = 3;
  bool PerClass = false;
};

std::vector<ReportRow> runAll(const Options &Chosen) {
  struct Job {
    Scenario Case;
    PolicyChoice Choice;
    std::vector<ReportRow> Rows;
  };
  std::vector<Job> Jobs;
  for (Scenario Case : allScenarios()) {
    Case.BulkPart = Chosen.BulkPart;
    Case.OneCustomer = Chosen.OneCustomer;
    for (const PolicyChoice &Choice : allPolicies()) {
      if (Case.Name.find(Chosen.Only) != std::string::npos) {
        Jobs.push_back({Case, Choice, {}});
      }
    }
  }
  std::atomic<std::size_t> Next = 0;
  std::vector<std::jthread> Workers;
  for (unsigned Index = 0; Index < Chosen.Threads; ++Index) {
    Workers.emplace_back([&] {
      for (std::size_t Mine = Next++; Mine < Jobs.size(); Mine = Next++) {
        Job &Each = Jobs[Mine];
        Simulation Run(Each.Case, Each.Choice, Chosen.Seed, Chosen.Seconds);
        Each.Rows = makeRows(Each.Case, Each.Choice, Run.run());
      }
    });
  }
  Workers.clear();
  std::vector<ReportRow> Result;
  for (Job &Each : Jobs) {
    Result.insert(Result.end(), Each.Rows.begin(), Each.Rows.end());
  }
  return Result;
}
} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App Application("Measures the dispatch decisions under a virtual clock");
  Options Chosen;
  Application.add_option("--output", Chosen.Output, "TSV file to write");
  Application.add_option("--seed", Chosen.Seed, "Seed of arrivals, service times and draws");
  Application.add_option("--seconds", Chosen.Seconds, "Simulated time of each run")
      ->check(CLI::Range(6.0, 3600.0));
  Application.add_option("--bulk", Chosen.BulkPart, "Fraction of the requests that are bulk")
      ->check(CLI::Range(0.0, 1.0));
  Application.add_flag("--one-customer", Chosen.OneCustomer, "All requests of one customer");
  Application.add_option("--only", Chosen.Only, "Run only scenarios whose name contains this");
  Application.add_option("--threads", Chosen.Threads, "Runs at once")->check(CLI::Range(1, 16));
  Application.add_flag("--per-class", Chosen.PerClass, "Print a line per class too");
  CLI11_PARSE(Application, ArgumentCount, Arguments);

  const std::vector<ReportRow> Rows = runAll(Chosen);
  if (!Chosen.Output.empty()) {
    std::ofstream File(Chosen.Output);
    writeTsv(Rows, File);
    if (!File.flush()) {
      std::cerr << "can't write " << Chosen.Output << '\n';
      return 1;
    }
  }
  std::vector<ReportRow> Shown = Rows;
  std::erase_if(Shown,
                [&](const ReportRow &Each) { return !Chosen.PerClass && Each.ClassName != "all"; });
  printTable(Shown, std::cout);
  printTargets(Rows, std::cout);
  return 0;
}
