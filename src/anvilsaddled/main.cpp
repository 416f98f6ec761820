#include "Daemon.h"

#include "state/TextFile.h"
#include "transport/EventLog.h"

#include <csignal>
#include <iostream>
#include <string>
#include <variant>

#include <CLI/CLI.hpp>
#include <malloc.h>

using namespace anvilsaddle;

namespace {

constexpr int InvalidSettingsExitStatus = 2;
/// Larger blocks are returned to the system when they are freed. Otherwise the C library raises the
/// size with each block that is freed, up to 32 MB, and keeps later ones.
constexpr int MaxHeapBlockBytes = 128 * 1024;
/// Free memory at the end of the heap that is not returned to the system.
constexpr int MaxFreeHeapBytes = 1024 * 1024;

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("anvilsaddle load balancer daemon for one entry VM");
  std::string Path;
  App.add_option("-s,--settings", Path, "Path of the settings file (TOML)")->required();
  VmResources Resources;
  App.add_option("--memory-mb", Resources.MemoryMb,
                 "Memory of the VM in MB, unless the settings state it")
      ->envname("ANVILSADDLE_MEMORY_MB")
      ->check(CLI::Range(VmResources::MinMemoryMb, VmResources::MaxMemoryMb));
  App.add_option("--descriptors", Resources.Descriptors,
                 "File descriptors of the process, unless the settings state them")
      ->envname("ANVILSADDLE_DESCRIPTORS")
      ->check(CLI::Range(VmResources::MinDescriptors, VmResources::MaxDescriptors));
  App.set_version_flag("--version", ANVILSADDLE_VERSION);
  CLI11_PARSE(App, ArgumentCount, Arguments);

  const auto Text = readTextFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot read the file\n";
    return InvalidSettingsExitStatus;
  }
  const auto Parsed = readDaemonSettings(*Text, Path, Resources);
  if (const auto *Problems = std::get_if<Diagnostics>(&Parsed)) {
    for (const Diagnostic &Each : *Problems) {
      std::cerr << toString(Each) << '\n';
    }
    return InvalidSettingsExitStatus;
  }
  mallopt(M_MMAP_THRESHOLD, MaxHeapBlockBytes);
  mallopt(M_TRIM_THRESHOLD, MaxFreeHeapBytes);
  // Writing to a connection that the peer has closed must only fail and not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  const auto &Settings = std::get<DaemonSettings>(Parsed);
  configureLog(Settings.LogLevel);
  return Daemon(Settings, Path, *Text, Resources).run();
}
