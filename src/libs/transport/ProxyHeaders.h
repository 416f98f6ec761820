#pragma once

#include "coordination/Refusal.h"
#include "transport/AnswerParser.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// First value of a header; empty if it is missing.
std::string_view headerValue(SoupMessageHeaders *Headers, const char *Name);

using HeaderField = std::pair<const char *, std::string>;

/// Request line and headers for a target or another entry, without the last, empty line: those of
/// the caller's request that a proxy passes on (RFC 9110, 7.6.1), then `Added`. Leaves out the
/// credential, the framing and the system's own headers.
std::string formatRequestHead(SoupServerMessage *Caller, const std::vector<HeaderField> &Added);

/// Adds the headers of an answer that a proxy passes on, without framing. The system's own headers
/// (`Anvilsaddle-`) are passed on only if `KeepOwn` is set, which is for answers of other entries.
void copyAnswerHeaders(const AnswerHead &From, SoupMessageHeaders *To, bool KeepOwn);

/// Writes a refusal as the answer to a caller.
void writeRefusal(SoupServerMessage *Caller, const Refusal &Answer);

/// Outcome of a refusal of another entry; null if the answer is a target's.
std::optional<RunOutcome> refusalOutcome(const AnswerHead &Answer);

} // namespace anvilsaddle
