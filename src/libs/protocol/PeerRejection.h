#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace anvilsaddle {

/// Reason for rejecting a datagram from another entry.
enum class PeerRejection : std::uint8_t {
  /// Too short for its header and authentication code.
  Truncated,
  TooLarge,
  UnsupportedVersion,
  /// The authentication code does not match: different key, different receiver or modified bytes.
  BadAuthentication,
  /// The sequence number was seen before or is older than the window.
  Replayed,
  /// A newer incarnation of the sender is known.
  OlderIncarnation,
  /// The table of senders is full.
  TooManySenders,
  /// Authentic, but not a valid message.
  Malformed,
};

/// Number of values of PeerRejection, for arrays of counters.
inline constexpr std::size_t PeerRejectionCount = 8;

/// A rejection with an error message for the log.
struct PeerError {
  PeerRejection Reason = PeerRejection::Malformed;
  std::string Message;

  auto operator<=>(const PeerError &) const = default;
};

/// Short name for logs and metric labels, for example `bad_authentication`.
const char *toString(PeerRejection Reason);

} // namespace anvilsaddle
