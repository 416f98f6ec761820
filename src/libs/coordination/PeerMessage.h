#pragma once

#include "coordination/limits/QuotaMessages.h"
#include "coordination/membership/Membership.h"
#include "coordination/publications/PublicationMessages.h"

#include <variant>

namespace anvilsaddle {

/// A message between entries.
using PeerMessage = std::variant<Gossip, RevisionNotice, NoticeRequest, NoticeReply, QuotaReport,
                                 QuotaSums, QuotaShares>;

} // namespace anvilsaddle
