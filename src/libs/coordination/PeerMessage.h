#pragma once

#include "coordination/Membership.h"

#include <variant>

namespace anvilsaddle {

/// A message between entries.
using PeerMessage = std::variant<Gossip>;

} // namespace anvilsaddle
