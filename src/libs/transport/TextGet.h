#pragma once

#include "transport/GlibPointers.h"

#include <functional>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Called once with the answer; `Ok` is true if it is complete and has status 200.
using OnText = std::function<void(SoupMessage *Message, const std::string &Body, bool Ok)>;

/// Sends a message and collects the body of its answer as text. After a cancellation `Done` is not
/// called. Precondition: the session outlives the call.
void getText(SoupSession *Session, GObjectPointer<SoupMessage> Message, GCancellable *Cancel,
             OnText Done);

} // namespace anvilsaddle
