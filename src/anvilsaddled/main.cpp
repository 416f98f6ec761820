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

constexpr int InvalidSettingsExitStatus = 2;

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("anvilsaddle load balancer daemon for one entry VM");
  std::string Path;
  App.add_option("-s,--settings", Path, "Path of the settings file (TOML)")->required();
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  CLI11_PARSE(App, ArgumentCount, Arguments);

  const auto Text = readTextFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot read the file\n";
    return InvalidSettingsExitStatus;
  }
  const auto Parsed = readDaemonSettings(*Text, Path);
  if (const auto *Problems = std::get_if<Diagnostics>(&Parsed)) {
    for (const Diagnostic &Each : *Problems) {
      std::cerr << toString(Each) << '\n';
    }
    return InvalidSettingsExitStatus;
  }
  // Writing to a connection that the peer has closed must only fail and not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  const auto &Settings = std::get<DaemonSettings>(Parsed);
  configureLog(Settings.LogLevel);
  return Daemon(Settings, Path, *Text).run();
}
