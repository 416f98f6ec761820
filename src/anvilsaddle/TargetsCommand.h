#pragma once

#include "Command.h"
#include "DaemonOptions.h"

namespace anvilsaddle {

/// `anvilsaddle targets`: targets that one daemon knows, and their load.
class TargetsCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;
};

} // namespace anvilsaddle
