#pragma once

#include "ToolError.h"

#include <map>
#include <string>

#include <CLI/App.hpp>
#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace anvilsaddle {

/// Options and HTTP access shared by all subcommands that query a daemon.
struct DaemonOptions {
  /// `<ip>:<port>`
  std::string Address;
  double TimeoutSeconds = 5;
  bool AsJson = false;

  /// `EndpointName` tells users in the help which of the daemon's endpoints the address belongs to.
  void addTo(CLI::App &Command, const std::string &EndpointName);

  /// Sends a GET request and parses the response as JSON. Fails with a ToolError.
  boost::leaf::result<nlohmann::json>
  query(const std::string &PathAndQuery,
        const std::map<std::string, std::string> &Headers = {}) const;
};

} // namespace anvilsaddle
