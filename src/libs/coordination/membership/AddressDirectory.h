#pragma once

#include "coordination/membership/Membership.h"
#include "state/Configuration.h"
#include "state/Topology.h"

#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Returns the addresses of the entries that a caller should use. Pure function; thread-safe.
///
/// Callers pick one of the addresses at random, so only the closest entries are returned: those in
/// the caller's failure domain, or all in its region if the domain has fewer than two. If the
/// region has none, these are the entries in the home regions of the host's routes, or else all
/// entries. Returns at most 64 addresses, and only those of entries that are ready.
std::vector<std::string> chooseEntryAddresses(const std::vector<EntryRecord> &Live,
                                              const Topology &FleetTopology,
                                              const RegionName &CallerRegion,
                                              const FailureDomainName &CallerDomain,
                                              const std::vector<const Route *> &Routes);

} // namespace anvilsaddle
