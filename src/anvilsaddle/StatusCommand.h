#pragma once

#include "Command.h"
#include "DaemonOptions.h"

namespace anvilsaddle {

/// `anvilsaddle status`: state, settings revisions and findings of one daemon.
class StatusCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;
};

} // namespace anvilsaddle
