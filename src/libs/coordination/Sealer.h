#pragma once

#include <string>
#include <string_view>

namespace anvilsaddle {

/// Cryptographic functions that decisions need. Thread-safe.
class Sealer {
public:
  virtual ~Sealer() = default;

  /// SHA-256 in lower-case hexadecimal.
  virtual std::string sha256Hex(std::string_view Text) const = 0;
  /// HMAC-SHA-256 under the fleet key, in lower-case hexadecimal.
  virtual std::string seal(std::string_view Text) const = 0;
  /// Compares in time that depends on the lengths only.
  virtual bool equals(std::string_view Left, std::string_view Right) const = 0;
};

} // namespace anvilsaddle
