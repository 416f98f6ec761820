#pragma once

#include "protocol/HttpMessage.h"
#include "state/Time.h"

namespace anvilsaddle {

/// Returns the head of a response that this entry gives in place of a target, with a plain text as
/// its body. Without a Retry-After if that is zero. Thread-safe.
ResponseHead localResponse(int Status, Duration RetryAfter);

} // namespace anvilsaddle
