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
  explicit RouteTable(const Configuration &Config);

  /// Returns null if no route matches. `Host` is case-insensitive and may include a port; `Path`
  /// may include a query.
  const Route *find(std::string_view Host, std::string_view Path) const;

  /// Returns all routes of a host, which is case-insensitive and may include a port.
  std::vector<const Route *> routesForHost(std::string_view Host) const;

private:
  /// Routes by lower-case host and path prefix.
  std::map<std::string, std::map<std::string, const Route *, std::less<>>, std::less<>>
      RoutesByHost;
};

} // namespace anvilsaddle
