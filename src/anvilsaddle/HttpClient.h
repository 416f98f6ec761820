#pragma once

#include "ToolError.h"

#include <chrono>
#include <map>
#include <string>

#include <boost/leaf.hpp>

namespace anvilsaddle {

struct HttpResponse {
  int Status = 0;
  std::string Body;
};

/// Sends a GET request and waits for the complete response, no longer than the timeout. Runs the
/// thread-default GLib main context meanwhile. Ignores proxy settings of the environment. Fails
/// with a ToolError.
boost::leaf::result<HttpResponse> httpGet(const std::string &Url,
                                          const std::map<std::string, std::string> &Headers,
                                          std::chrono::milliseconds Timeout);

} // namespace anvilsaddle
