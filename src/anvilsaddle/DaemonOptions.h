#pragma once

#include "ToolError.h"

#include <map>
#include <string>

#include <CLI/App.hpp>
#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace anvilsaddle {

/// Options and calls that all commands share that ask a daemon.
struct DaemonOptions {
  /// `<ip>:<port>`
  std::string Address;
  double TimeoutSeconds = 5;
  bool Json = false;

  /// `Port` says in the help which port of the daemon to give.
  void addTo(CLI::App &Command, const std::string &Port);

  /// Asks with GET and reads the answer as JSON. Fails with a ToolError.
  boost::leaf::result<nlohmann::json>
  ask(const std::string &PathAndQuery,
      const std::map<std::string, std::string> &Headers = {}) const;
};

} // namespace anvilsaddle
