#pragma once

#include "coordination/configuration/ConfigurationFinding.h"
#include "state/Configuration.h"

#include <vector>

namespace anvilsaddle {

/// Returns what changes for callers and operators if `Next` replaces `Current`. Changes at the
/// expense of callers are warnings, others are notes; warnings come first, each ordered by kind.
/// Pure function; thread-safe.
std::vector<ConfigurationFinding> compareConfigurations(const Configuration &Current,
                                                        const Configuration &Next);

} // namespace anvilsaddle
