#pragma once

#include "state/Finding.h"
#include "state/PlatformSettings.h"
#include "state/TeamSettings.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Checks settings files and collects what is wrong with them. Not thread-safe.
class SettingsChecker {
public:
  /// A file of published settings (`platform.toml`, any other name is a team), a VM list
  /// (`vms.json`), or a directory of them as the configuration service publishes it.
  void checkPublished(const std::filesystem::path &Path);
  /// A file of local settings of a daemon.
  void checkDaemonSettings(const std::filesystem::path &File);

  /// What a daemon would refuse.
  const Findings &problems() const { return this->Problems; }
  /// References to names that another file does not define. A daemon accepts them, because files
  /// are published one by one, and refuses the requests that need them.
  const Findings &warnings() const { return this->Warnings; }

private:
  struct Team {
    std::string File;
    std::string Text;
    TeamSettings Settings;
  };

  void checkDirectory(const std::filesystem::path &Directory);
  std::optional<PlatformSettings> checkPlatform(const std::filesystem::path &File);
  std::optional<Team> checkTeam(const std::filesystem::path &File);
  void checkVmList(const std::filesystem::path &File, const PlatformSettings *Platform);
  void checkReferences(const Team &Checked, const PlatformSettings &Platform);
  std::optional<std::string> read(const std::filesystem::path &File);
  void add(const Findings &Found, const std::filesystem::path &File);

  Findings Problems;
  Findings Warnings;
};

} // namespace anvilsaddle
