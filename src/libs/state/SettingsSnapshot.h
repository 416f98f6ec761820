#pragma once

#include "state/PlatformSettings.h"
#include "state/TeamSettings.h"

#include <cstddef>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anvilsaddle {

/// All accepted published settings at one moment. Only the store that owns a snapshot changes it;
/// copies are immutable and safe to read from several threads. Lookups return null if nothing has
/// the name; their cost does not grow with the number of services, domains or customers.
class SettingsSnapshot {
public:
  SettingsSnapshot() = default;
  SettingsSnapshot(PlatformSettings Platform, const std::map<TeamName, TeamSettings> &Teams);

  const PlatformSettings &platform() const { return this->Platform; }
  const std::map<TeamName, TeamSettings> &teams() const { return this->Teams; }

  const Service *findService(const ServiceName &Name) const;
  const FailureDomain *findDomain(const FailureDomainName &Name) const;
  const Customer *findCustomer(const CustomerName &Name) const;
  /// The route of the customer with the longest path prefix that matches path and method. A prefix
  /// matches whole path segments only.
  const Route *findRoute(const CustomerName &Name, std::string_view Method,
                         std::string_view UrlPath) const;

  bool operator==(const SettingsSnapshot &Other) const {
    return this->Platform == Other.Platform && this->Teams == Other.Teams;
  }

private:
  friend class SettingsStore;

  /// Positions instead of pointers, so that copies stay valid.
  struct CustomerIndex {
    /// Position in TeamSettings::Customers; NoPosition if only routes name the customer.
    std::size_t Position = NoPosition;
    /// Positions in TeamSettings::Routes, longest path prefix first.
    std::vector<std::size_t> Routes;
  };
  using TeamIndex = std::unordered_map<CustomerName, CustomerIndex>;

  static constexpr std::size_t NoPosition = static_cast<std::size_t>(-1);

  /// Replace one part, at a cost that depends only on the size of that part.
  void setPlatform(PlatformSettings NewPlatform);
  void setTeam(TeamSettings NewTeam);

  PlatformSettings Platform;
  std::map<TeamName, TeamSettings> Teams;
  std::unordered_map<ServiceName, std::size_t> Services;
  std::unordered_map<FailureDomainName, std::size_t> Domains;
  std::map<TeamName, TeamIndex> TeamIndexes;
};

/// Team part of a full customer name.
TeamName teamOf(const CustomerName &Name);

} // namespace anvilsaddle
