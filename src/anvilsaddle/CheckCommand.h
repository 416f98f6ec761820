#pragma once

#include "Command.h"

#include <string>
#include <vector>

namespace anvilsaddle {

/// `anvilsaddle check`: checks settings files of daemons offline.
class CheckCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  std::vector<std::string> Paths;
  bool AsJson = false;
};

} // namespace anvilsaddle
