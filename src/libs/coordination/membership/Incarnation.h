#pragma once

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// Identifies one run of an entry's process. A later run compares greater unless the clock was set
/// back. Value type.
struct Incarnation {
  std::int64_t StartedUnixMilliseconds = 0;
  /// Distinguishes runs with the same start time.
  std::uint64_t Nonce = 0;

  auto operator<=>(const Incarnation &) const = default;
};

} // namespace anvilsaddle
