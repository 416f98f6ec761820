#pragma once

#include "ToolError.h"

#include <chrono>
#include <map>
#include <string>

#include <boost/leaf.hpp>

namespace anvilsaddle {

struct HttpAnswer {
  int Status = 0;
  std::string Body;
};

/// Sends GET and waits for the whole answer, at most for the timeout. Runs the thread-default GLib
/// main context meanwhile. Proxies from the environment are not used. Fails with a ToolError.
boost::leaf::result<HttpAnswer> httpGet(const std::string &Url,
                                        const std::map<std::string, std::string> &Headers,
                                        std::chrono::milliseconds Timeout);

} // namespace anvilsaddle
