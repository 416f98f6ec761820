#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Compresses bytes in the zlib format. Thread-safe.
std::string compress(std::string_view Bytes);

/// Restores compressed bytes. Returns nothing if they are not a complete zlib stream or if the
/// result is larger than `MaxBytes`. Thread-safe.
std::optional<std::string> decompress(std::string_view Compressed, std::size_t MaxBytes);

} // namespace anvilsaddle
