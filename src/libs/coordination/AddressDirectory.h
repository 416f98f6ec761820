#pragma once

#include "coordination/Membership.h"
#include "state/Configuration.h"
#include "state/Topology.h"

#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Chooses the entries that a caller should use. Pure function; thread-safe.
///
/// Callers pick one of the addresses at random, so the answer names only the nearest entries: those
/// of the caller's failure domain, with the rest of its region if there are fewer than two; if the
/// region has none, those of the home regions of the host's routes, or else all. Answers the
/// addresses of at most 64 entries, never of one that is not ready.
std::vector<std::string> chooseEntryAddresses(const std::vector<MemberRecord> &Live,
                                              const Topology &Places,
                                              const RegionName &CallerRegion,
                                              const FailureDomainName &CallerDomain,
                                              const std::vector<const Route *> &Routes);

} // namespace anvilsaddle
