#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// IP number and port. Value type.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// Formats as `address:port`. Thread-safe.
std::string toString(const Endpoint &Place);

/// Reads `a.b.c.d:port`; nothing if the text is anything else. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace anvilsaddle
