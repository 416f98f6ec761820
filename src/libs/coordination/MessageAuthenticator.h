#pragma once

#include <string>
#include <string_view>

namespace anvilsaddle {

/// Authenticates messages between entries. Thread-safe.
class MessageAuthenticator {
public:
  virtual ~MessageAuthenticator() = default;

  /// HMAC-SHA-256 under the fleet key, in lower-case hexadecimal.
  virtual std::string hmac(std::string_view Text) const = 0;
  /// Compares in time that depends on the lengths only.
  virtual bool constantTimeEquals(std::string_view Left, std::string_view Right) const = 0;
};

} // namespace anvilsaddle
