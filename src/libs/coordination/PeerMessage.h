#pragma once

#include "coordination/Membership.h"
#include "coordination/PublicationDistributor.h"

#include <variant>

namespace anvilsaddle {

/// A message between entries.
using PeerMessage = std::variant<Gossip, RevisionNotice>;

} // namespace anvilsaddle
