#pragma once

#include "coordination/DispatchTypes.h"
#include "protocol/HttpMessage.h"

#include <optional>

namespace anvilsaddle {

/// Sets the header field that marks a request as forwarded by another entry and carries its
/// options, replacing any previous value.
void writeForwardHeader(FieldList &Fields, const ForwardOptions &Options);

/// Removes the header field and returns its options, or nothing if it is missing or malformed.
std::optional<ForwardOptions> takeForwardHeader(FieldList &Fields);

} // namespace anvilsaddle
