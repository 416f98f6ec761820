#include "Daemon.h"

#include "state/TextFile.h"
#include "transport/EventLog.h"

#include <csignal>
#include <iostream>
#include <string>
#include <variant>

#include <CLI/CLI.hpp>

using namespace anvilsaddle;

namespace {

constexpr int ExitSettings = 2;

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("anvilsaddle load balancer daemon for one entry VM");
  std::string Path;
  App.add_option("-s,--settings", Path, "Local settings (TOML)")->required();
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  CLI11_PARSE(App, ArgumentCount, Arguments);

  const auto Text = readTextFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot read the file\n";
    return ExitSettings;
  }
  const auto Parsed = readDaemonSettings(*Text, Path);
  if (const auto *Problems = std::get_if<Diagnostics>(&Parsed)) {
    for (const Diagnostic &Each : *Problems) {
      std::cerr << toString(Each) << '\n';
    }
    return ExitSettings;
  }
  // A write to a connection that the other side closed is an error of that write only.
  std::signal(SIGPIPE, SIG_IGN);
  const auto &Settings = std::get<DaemonSettings>(Parsed);
  configureLog(Settings.LogLevel);
  return Daemon(Settings, Path, *Text).run();
}
