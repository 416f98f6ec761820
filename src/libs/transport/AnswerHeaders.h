#pragma once

#include "coordination/Refusal.h"

#include <optional>
#include <string>
#include <string_view>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// First value of a header; empty if it is missing.
std::string_view headerValue(SoupMessageHeaders *Headers, const char *Name);

/// Copies the headers that a proxy passes on: none that belong to one connection (RFC 9110, 7.6.1),
/// and none of the system's own (`Anvilsaddle-`) unless `KeepOwn` is set.
void copyEndToEndHeaders(SoupMessageHeaders *From, SoupMessageHeaders *To, bool KeepOwn);

/// Writes a refusal as the answer to a caller.
void writeRefusal(SoupServerMessage *Caller, const Refusal &Answer);

/// Outcome of a refusal of another entry; null if the answer is a target's.
std::optional<RunOutcome> refusalOutcome(SoupMessageHeaders *Headers);

} // namespace anvilsaddle
