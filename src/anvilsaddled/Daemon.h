#pragma once

#include "platform/PlatformProtocol.h"
#include "platform/StoreClient.h"
#include "protocol/DaemonSettings.h"
#include "transport/EntryRuntime.h"
#include "transport/GlibPointers.h"
#include "transport/SystemClock.h"
#include "transport/SystemRandom.h"

#include <string>

namespace anvilsaddle {

/// Runs one entry until SIGTERM or SIGINT stops it. Not thread-safe.
class Daemon {
public:
  /// The settings were parsed from `Text`, the content of the file `Path`. The file is read again
  /// when it changes. `Resources` hold where the settings don't state those of the VM.
  Daemon(DaemonSettings Settings, std::string Path, std::string Text, VmResources Resources);

  /// Runs the main loop. Returns the exit status of the process.
  int run();

private:
  static gboolean onStopSignal(gpointer Data);
  static gboolean onReloadSignal(gpointer Data);
  static gboolean onSettingsCheck(gpointer Data);

  void reload();

  DaemonSettings Settings;
  std::string SettingsPath;
  std::string SettingsText;
  VmResources Resources;
  SystemClock Time;
  SystemRandom Random;
  platform::PlatformProtocol Protocol;
  platform::StoreClient Store;
  EntryRuntime Runtime;
  GMainLoopPointer Loop;
  bool IsStopping = false;
};

} // namespace anvilsaddle
