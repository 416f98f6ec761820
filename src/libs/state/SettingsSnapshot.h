#pragma once

#include "state/PlatformSettings.h"
#include "state/TeamSettings.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// All accepted published settings at one moment. Immutable once built; safe to read from several
/// threads. Lookups return null if nothing has the name.
class SettingsSnapshot {
public:
  SettingsSnapshot() = default;
  SettingsSnapshot(PlatformSettings Platform, std::map<TeamName, TeamSettings> Teams);

  const PlatformSettings &platform() const { return this->Platform; }
  const std::map<TeamName, TeamSettings> &teams() const { return this->Teams; }

  const Service *findService(const ServiceName &Name) const;
  const FailureDomain *findDomain(const FailureDomainName &Name) const;
  const Customer *findCustomer(const CustomerName &Name) const;
  /// The route of the customer with the longest path prefix that matches path and method. A prefix
  /// matches whole path segments only.
  const Route *findRoute(const CustomerName &Name, std::string_view Method,
                         std::string_view UrlPath) const;

  bool operator==(const SettingsSnapshot &) const = default;

private:
  PlatformSettings Platform;
  std::map<TeamName, TeamSettings> Teams;
};

/// Team part of a full customer name.
TeamName teamOf(const CustomerName &Name);

} // namespace anvilsaddle
