#pragma once

#include "Command.h"
#include "DaemonOptions.h"

namespace anvilsaddle {

/// `anvilsaddle customers`: customers in the configuration of one daemon, and what it decided about
/// their requests.
class CustomersCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;
};

} // namespace anvilsaddle
