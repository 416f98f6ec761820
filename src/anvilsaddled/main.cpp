#include "protocol/DaemonSettings.h"
#include "protocol/OpenSslSealer.h"
#include "protocol/TomlSettingsParser.h"
#include "transport/EntryRuntime.h"
#include "transport/EventLog.h"
#include "transport/GlibPointers.h"
#include "transport/SystemClock.h"
#include "transport/SystemRandom.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <CLI/CLI.hpp>
#include <glib-unix.h>

using namespace anvilsaddle;

namespace {

constexpr int ExitSettings = 2;
constexpr int ExitStart = 3;
constexpr int ExitStopWait = 4;
constexpr std::size_t MinKeyBytes = 16;

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

/// Runs the daemon until a signal stops it.
class Daemon {
public:
  Daemon(const DaemonSettings &Local, std::string FleetKey)
      : Local(Local), Seals(std::move(FleetKey)),
        Runtime(Local, this->Time, this->Parser, this->Seals, this->Random),
        Loop(g_main_loop_new(nullptr, FALSE)) {}

  int run() {
    if (const std::string Error = this->Runtime.start(); !Error.empty()) {
      logEvent(LogLevel::Error, "start_failed", {{"reason", Error}});
      return ExitStart;
    }
    g_unix_signal_add(SIGTERM, onSignal, this);
    g_unix_signal_add(SIGINT, onSignal, this);
    logEvent(LogLevel::Info, "started",
             {{"vm", this->Local.Vm.str()}, {"port", std::to_string(this->Local.Port)}});
    g_main_loop_run(this->Loop.get());
    logEvent(LogLevel::Info, "stopped", {{"exit", std::to_string(this->Exit)}});
    return this->Exit;
  }

private:
  static gboolean onSignal(gpointer Data) {
    auto &Self = *static_cast<Daemon *>(Data);
    if (!std::exchange(Self.Stopping, true)) {
      logEvent(LogLevel::Info, "stopping");
      Self.Runtime.stop([&Self] { g_main_loop_quit(Self.Loop.get()); });
      const auto Wait =
          std::chrono::duration_cast<std::chrono::milliseconds>(Self.Local.StopWait).count();
      g_timeout_add(static_cast<guint>(Wait), onStopWaitEnd, &Self);
    }
    return G_SOURCE_CONTINUE;
  }

  static gboolean onStopWaitEnd(gpointer Data) {
    auto &Self = *static_cast<Daemon *>(Data);
    logEvent(LogLevel::Error, "stop_wait_exceeded");
    Self.Exit = ExitStopWait;
    g_main_loop_quit(Self.Loop.get());
    return G_SOURCE_REMOVE;
  }

  const DaemonSettings &Local;
  SystemClock Time;
  SystemRandom Random;
  TomlSettingsParser Parser;
  OpenSslSealer Seals;
  EntryRuntime Runtime;
  GMainLoopPointer Loop;
  bool Stopping = false;
  int Exit = 0;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("anvilsaddle load balancer daemon for one entry VM");
  std::string SettingsPath;
  App.add_option("-s,--settings", SettingsPath, "Local settings (TOML)")->required();
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  CLI11_PARSE(App, ArgumentCount, Arguments);

  const auto Text = readFile(SettingsPath);
  if (!Text) {
    std::cerr << SettingsPath << ": cannot read the file\n";
    return ExitSettings;
  }
  const auto Parsed = readDaemonSettings(*Text, SettingsPath);
  if (const auto *Problems = std::get_if<Findings>(&Parsed)) {
    for (const Finding &Each : *Problems) {
      std::cerr << toString(Each) << '\n';
    }
    return ExitSettings;
  }
  const auto &Local = std::get<DaemonSettings>(Parsed);
  const auto Key = readFile(Local.KeyFile);
  if (!Key || Key->size() < MinKeyBytes) {
    std::cerr << SettingsPath << ": key file " << Local.KeyFile << " must hold at least "
              << MinKeyBytes << " bytes\n";
    return ExitSettings;
  }
  configureLog(Local.LogLevel);
  return Daemon(Local, *Key).run();
}
