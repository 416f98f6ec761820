#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// IPv4 address and port. Value type.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// Formats as `address:port`. Thread-safe.
std::string toString(const Endpoint &Value);

/// Parses `a.b.c.d:port`. Returns nothing for any other text, or if the port is 0. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace anvilsaddle
