#pragma once

#include "state/Publication.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Encodes a batch in the Thrift compact protocol (peer.thrift). Thread-safe.
std::string writeBatch(const PublicationBatch &Batch);

/// Decodes a batch. Returns nothing if the text is not a complete batch. Never throws on bad input.
/// Thread-safe.
std::optional<PublicationBatch> readBatch(std::string_view Text);

} // namespace anvilsaddle
