#pragma once

#include "coordination/DispatchTypes.h"
#include "protocol/HttpMessage.h"

#include <optional>

namespace anvilsaddle {

/// Replaces the header by which an entry tells another one under which terms it passes a request
/// on.
void writeForwardHeader(FieldList &Fields, const ForwardTerms &Terms);

/// Takes the header out; nothing if it is missing or can't be read.
std::optional<ForwardTerms> takeForwardHeader(FieldList &Fields);

} // namespace anvilsaddle
