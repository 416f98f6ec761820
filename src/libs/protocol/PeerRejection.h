#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace anvilsaddle {

/// Why a datagram from another entry was not accepted.
enum class PeerRejection : std::uint8_t {
  /// Shorter than its own header or authentication code.
  Truncated,
  TooLarge,
  UnsupportedVersion,
  /// The authentication code does not match: another key, another receiver or changed bytes.
  BadAuthentication,
  /// The sequence number was seen before or is older than the window.
  Replayed,
  /// A newer incarnation of the sender has been heard.
  OlderIncarnation,
  /// The table of senders is full.
  TooManySenders,
  /// Authenticated, but not a valid message.
  Malformed,
};

/// Count of the values of PeerRejection, for tables of counters.
inline constexpr std::size_t PeerRejectionCount = 8;

/// A rejection with text for the log.
struct PeerError {
  PeerRejection Reason = PeerRejection::Malformed;
  std::string Message;

  auto operator<=>(const PeerError &) const = default;
};

/// Short name for logs and metric labels, for example `bad_authentication`.
const char *toString(PeerRejection Reason);

} // namespace anvilsaddle
