#pragma once

#include "state/ConfigurationDelta.h"
#include "state/Publication.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Encodes a batch in the Thrift compact protocol (peer.thrift). A configuration is replaced by the
/// delta if that leads to the same version. Thread-safe.
std::string writeBatch(const PublicationBatch &Batch,
                       const std::optional<ConfigurationDelta> &Delta = std::nullopt);

/// Decodes a batch and applies a delta in it to `Base`, which is null if there is no configuration
/// yet. Returns nothing if the text is not a complete batch, or if the delta belongs to another
/// version than the base. Never throws on bad input. Thread-safe.
std::optional<PublicationBatch> readBatch(std::string_view Text,
                                          const Configuration *Base = nullptr);

} // namespace anvilsaddle
