#pragma once

#include "Command.h"
#include "DaemonOptions.h"

#include <string>

namespace anvilsaddle {

/// `anvilsaddle explain`: where a daemon would send a request, and why not elsewhere.
class ExplainCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;
  std::string Method;
  std::string Path;
  std::string Customer;
};

} // namespace anvilsaddle
