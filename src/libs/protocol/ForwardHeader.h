#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "protocol/HttpMessage.h"
#include "state/Configuration.h"

#include <optional>

namespace anvilsaddle {

/// Sets the header fields that mark a request as forwarded by another entry and carry its
/// options, replacing any previous values.
void writeForwardHeader(FieldList &Fields, const ForwardOptions &Options);

/// Removes the header fields and returns the options, or nothing if it is missing or malformed.
std::optional<ForwardOptions> takeForwardHeader(FieldList &Fields);

/// Returns the limits for requests that other entries forward, with room for the header fields that
/// these add: what the first entry has accepted must not be refused by the second. Thread-safe.
CallerLimits limitsOfForwardedRequests(const CallerLimits &Limits);

} // namespace anvilsaddle
