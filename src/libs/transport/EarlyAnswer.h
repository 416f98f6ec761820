#pragma once

#include "coordination/Refusal.h"

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Answers a request whose body has not arrived completely, and closes the connection: the HTTP
/// library would read the whole body before it answers. Takes effect in a later iteration of the
/// main loop. Discards what the caller still sends for a short time, because closing a socket with
/// unread data can destroy an answer on its way.
void answerEarly(SoupServerMessage *Caller, const Refusal &Answer);

/// Closes the connection of a request without an answer. `Reset` makes the end visible to a caller
/// that takes a closed connection for the end of the answer.
void closeWithoutAnswer(SoupServerMessage *Caller, bool Reset);

} // namespace anvilsaddle
