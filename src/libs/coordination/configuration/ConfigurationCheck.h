#pragma once

#include "coordination/configuration/ConfigurationFinding.h"
#include "state/Configuration.h"
#include "state/Identifiers.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace anvilsaddle {

/// What is known of the fleet for which a configuration is intended. Checks without their data are
/// left out. Value type.
struct ConfigurationCheckContext {
  std::optional<std::set<RegionName>> Regions;
  /// Regions of the registered targets of each service.
  std::optional<std::map<ServiceName, std::set<RegionName>>> TargetRegions;
  /// True if the entries' budget allows retries.
  std::optional<bool> AllowsRetries;
  /// Share of requests that entries may hedge.
  std::optional<double> HedgeShare;
};

/// Returns what is wrong or probably not intended in a configuration, in the order of its parts.
/// Pure function; thread-safe. Its time is nearly linear in the size of the configuration.
std::vector<ConfigurationFinding> checkConfiguration(const Configuration &Config,
                                                     const ConfigurationCheckContext &Context);

} // namespace anvilsaddle
