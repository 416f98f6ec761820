#pragma once

#include "Command.h"
#include "DaemonOptions.h"

#include <string>

namespace anvilsaddle {

/// `anvilsaddle explain`: the route that a request matches, with its settings.
class ExplainCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;
  std::string Host;
  std::string Path;
  std::string Customer;
};

} // namespace anvilsaddle
