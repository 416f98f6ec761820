#pragma once

#include "coordination/membership/Membership.h"
#include "coordination/publications/PublicationDistributor.h"

#include <variant>

namespace anvilsaddle {

/// A message between entries.
using PeerMessage = std::variant<Gossip, RevisionNotice>;

} // namespace anvilsaddle
