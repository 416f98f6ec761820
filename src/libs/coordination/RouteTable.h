#pragma once

#include "state/Configuration.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilsaddle {

/// Finds the route of a request by host and longest path prefix. Immutable; safe to read from
/// several threads.
class RouteTable {
public:
  /// Precondition: the configuration outlives the table.
  explicit RouteTable(const Configuration &Settings);

  /// Null if no route matches. `Host` may carry a port and any letter case; `Path` may carry a
  /// query.
  const Route *find(std::string_view Host, std::string_view Path) const;

  /// All routes of a host, which may carry a port and any letter case.
  std::vector<const Route *> routesOf(std::string_view Host) const;

private:
  /// By host in lower case and prefix.
  std::map<std::string, std::map<std::string, const Route *, std::less<>>, std::less<>> Hosts;
};

} // namespace anvilsaddle
