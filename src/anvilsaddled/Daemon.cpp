#include "Daemon.h"

#include "state/TextFile.h"
#include "transport/EventLog.h"

#include <utility>
#include <variant>

#include <glib-unix.h>

namespace anvilsaddle {

namespace {

constexpr int StartFailedExitStatus = 3;
/// The settings file may change without SIGHUP, so it is checked periodically.
constexpr guint SettingsCheckIntervalSeconds = 2;

} // namespace

Daemon::Daemon(DaemonSettings InitialSettings, std::string Path, std::string Text,
               VmResources Resources)
    : Settings(std::move(InitialSettings)), SettingsPath(std::move(Path)),
      SettingsText(std::move(Text)), Resources(Resources),
      Store(this->Settings.StoreEndpoint, this->Time, this->Random),
      Runtime(this->Settings,
              {this->Store, this->Protocol, this->Protocol, this->Time, this->Random}),
      Loop(g_main_loop_new(nullptr, FALSE)) {}

int Daemon::run() {
  if (const std::string Error = this->Runtime.start(); !Error.empty()) {
    logEvent(LogLevel::Error, "start_failed", {{"reason", Error}});
    return StartFailedExitStatus;
  }
  g_unix_signal_add(SIGTERM, onStopSignal, this);
  g_unix_signal_add(SIGINT, onStopSignal, this);
  g_unix_signal_add(SIGHUP, onReloadSignal, this);
  g_timeout_add_seconds(SettingsCheckIntervalSeconds, onSettingsCheck, this);
  logStateChange("started", {{"vm", this->Settings.Vm.str()},
                             {"address", toString(this->Settings.CallerEndpoint)},
                             {"version", ANVILSADDLE_VERSION}});
  flushLog();
  g_main_loop_run(this->Loop.get());
  logStateChange("stopped");
  flushLog();
  return 0;
}

gboolean Daemon::onStopSignal(gpointer Data) {
  auto &Self = *static_cast<Daemon *>(Data);
  if (!std::exchange(Self.IsStopping, true)) {
    Self.Runtime.stop([&Self] { g_main_loop_quit(Self.Loop.get()); });
  }
  return G_SOURCE_CONTINUE;
}

gboolean Daemon::onReloadSignal(gpointer Data) {
  static_cast<Daemon *>(Data)->reload();
  return G_SOURCE_CONTINUE;
}

gboolean Daemon::onSettingsCheck(gpointer Data) {
  static_cast<Daemon *>(Data)->reload();
  return G_SOURCE_CONTINUE;
}

void Daemon::reload() {
  const auto Newer = readTextFile(this->SettingsPath);
  if (!Newer || *Newer == this->SettingsText) {
    return;
  }
  this->SettingsText = *Newer;
  const auto Parsed = readDaemonSettings(*Newer, this->SettingsPath, this->Resources);
  if (const auto *Problems = std::get_if<Diagnostics>(&Parsed)) {
    for (const Diagnostic &Each : *Problems) {
      logEvent(LogLevel::Error, "settings_refused", {{"finding", toString(Each)}});
    }
    return;
  }
  this->Settings = std::get<DaemonSettings>(Parsed);
  this->Runtime.reload(this->Settings);
  logStateChange("settings_reloaded", {{"seeds", std::to_string(this->Settings.Seeds.size())}});
}

} // namespace anvilsaddle
