#pragma once

#include <string>
#include <string_view>

namespace anvilsaddle {

/// Authenticates messages between entries. Thread-safe.
class MessageAuthenticator {
public:
  virtual ~MessageAuthenticator() = default;

  /// Returns the HMAC-SHA-256 of a text with the fleet key, in lower-case hexadecimal.
  virtual std::string hmac(std::string_view Text) const = 0;
  /// Compares in a time that depends only on the lengths, to prevent timing attacks.
  virtual bool constantTimeEquals(std::string_view Left, std::string_view Right) const = 0;
};

} // namespace anvilsaddle
