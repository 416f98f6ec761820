#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace anvilsaddle {

/// Maximum number of parts of a dotted key; no setting needs more. The TOML library parses and
/// frees dotted keys recursively without a limit, so that a key with 200,000 parts overflows the
/// stack.
inline constexpr std::size_t MaxTomlKeyParts = 8;

struct TomlPosition {
  std::uint32_t Line = 1;
  std::uint32_t Column = 1;
};

/// Finds the first key or table header with too many parts, without parsing the text. Returns its
/// position, or nothing. Thread-safe.
std::optional<TomlPosition> findDeepTomlKey(std::string_view Text);

} // namespace anvilsaddle
