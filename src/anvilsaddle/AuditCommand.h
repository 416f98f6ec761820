#pragma once

#include "Command.h"
#include "DaemonOptions.h"

#include <cstdint>

namespace anvilsaddle {

/// `anvilsaddle audit`: changes that one daemon recorded in its audit log, with their reasons.
class AuditCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  DaemonOptions Daemon;

  void write(std::ostream &Out, const nlohmann::json &Entries) const;

  bool Follow = false;
  std::uint64_t LastSequence = 0;
  double IntervalSeconds = 1;
};

} // namespace anvilsaddle
