#pragma once

#include "state/Configuration.h"
#include "state/ConfigurationDelta.h"
#include "state/Identifiers.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace anvilsaddle {

/// Remembers which routes and customers the last versions of the configuration changed, so that an
/// entry that has one of them can be sent the difference. Holds names only. Not thread-safe.
class ConfigurationHistory {
public:
  /// Number of versions that are remembered.
  static constexpr std::size_t MaxRetainedChanges = 32;

  /// Records that a version replaces another one; null if it is the first one.
  void onConfiguration(const Configuration *Old, const Configuration &Newer);
  /// Returns what changed from a version to the current one, which is no route and no customer if
  /// both are the same version; nothing if that is not known. Precondition: `Current` is the
  /// version that was recorded last.
  std::optional<ConfigurationDelta> deltaSince(std::uint64_t BaseVersion,
                                               const Configuration &Current) const;

private:
  struct Change {
    std::uint64_t BaseVersion = 0;
    std::set<RouteName> Routes;
    std::set<CustomerName> Customers;
  };

  std::deque<Change> Changes;
};

} // namespace anvilsaddle
