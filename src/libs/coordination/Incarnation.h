#pragma once

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// One run of an entry's process. A later run compares greater unless the clock went back. Value
/// type.
struct Incarnation {
  std::int64_t StartedUnixMilliseconds = 0;
  std::uint64_t Nonce = 0;

  auto operator<=>(const Incarnation &) const = default;
};

} // namespace anvilsaddle
