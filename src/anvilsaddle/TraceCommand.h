#pragma once

#include "Command.h"

#include <string>
#include <vector>

namespace anvilsaddle {

struct TraceEvent;

/// `anvilsaddle trace`: log events of one request from several daemons, in causal order.
class TraceCommand final : public Command {
public:
  void addTo(CLI::App &App) override;
  boost::leaf::result<ExitCode> run(std::ostream &Out) override;

private:
  void write(std::ostream &Out, const std::vector<TraceEvent> &Events) const;

  std::string Request;
  std::vector<std::string> Paths;
  bool AsJson = false;
};

} // namespace anvilsaddle
