#pragma once

#include "Command.h"

#include <string>
#include <vector>

namespace anvilsaddle {

/// `anvilsaddle check`: checks settings files of daemons and configurations offline.
class CheckCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  std::vector<std::string> Paths;
  std::string AgainstPath;
  std::string SettingsPath;
  std::string TargetsPath;
  std::string Format = "text";
  bool AsJson = false;
};

} // namespace anvilsaddle
