#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace anvilsaddle {

/// The TOML library parses and frees dotted keys by recursion without a limit, so that a key with
/// 200,000 parts overflows the stack. No setting needs more parts than this.
inline constexpr std::size_t MaxTomlKeyParts = 8;

struct TomlPosition {
  std::uint32_t Line = 1;
  std::uint32_t Column = 1;
};

/// Finds the first key or table header with too many parts, without parsing. Thread-safe.
std::optional<TomlPosition> findDeepTomlKey(std::string_view Text);

} // namespace anvilsaddle
