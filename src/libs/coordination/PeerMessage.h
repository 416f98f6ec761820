#pragma once

#include "coordination/limits/QuotaMessages.h"
#include "coordination/membership/Membership.h"
#include "coordination/publications/PublicationDistributor.h"

#include <variant>

namespace anvilsaddle {

/// A message between entries.
using PeerMessage = std::variant<Gossip, RevisionNotice, QuotaReport, QuotaSums, QuotaShares>;

} // namespace anvilsaddle
