#pragma once

#include "Command.h"
#include "DaemonOptions.h"

namespace anvilsaddle {

/// `anvilsaddle status`: state of one daemon and the entries that it knows.
class StatusCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;
};

} // namespace anvilsaddle
