#pragma once

#include <string>
#include <string_view>

namespace anvilsaddle {

/// Authenticates messages between entries. Thread-safe.
class Sealer {
public:
  virtual ~Sealer() = default;

  /// HMAC-SHA-256 under the fleet key, in lower-case hexadecimal.
  virtual std::string seal(std::string_view Text) const = 0;
  /// Compares in time that depends on the lengths only.
  virtual bool equals(std::string_view Left, std::string_view Right) const = 0;
};

} // namespace anvilsaddle
