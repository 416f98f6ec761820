#pragma once

#include "state/Publication.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Text of a batch in the Thrift compact protocol (peer.thrift). Thread-safe.
std::string writeBatch(const PublicationBatch &Batch);

/// Nothing if the text is no whole batch. Never throws on bad input. Thread-safe.
std::optional<PublicationBatch> readBatch(std::string_view Text);

} // namespace anvilsaddle
