#pragma once

#include "coordination/MessageAuthenticator.h"
#include "coordination/membership/Incarnation.h"
#include "protocol/PeerRejection.h"
#include "state/Identifiers.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace anvilsaddle {

/// Authenticated datagram between entries:
///
///     version (1 byte) | length of the sender's name (1 byte) | sender's name |
///     start time of the incarnation (8) | random part of the incarnation (8) | sequence (8) |
///     payload | HMAC-SHA-256 under the fleet key, truncated to 16 bytes
///
/// Numbers are big-endian. The HMAC also covers the receiver's name, which is not sent, so that a
/// datagram can't be replayed to another receiver. Value type.
struct PeerEnvelope {
  static constexpr std::uint8_t Version = 1;
  /// RFC 2104 allows truncation to half of the hash, which saves a tenth of a typical heartbeat.
  static constexpr std::size_t AuthenticationCodeBytes = 16;
  /// Keeps datagrams below the usual Ethernet MTU less IPv6, UDP and tunnel headers.
  static constexpr std::size_t MaxDatagramBytes = 1400;
  static constexpr std::size_t MaxNameBytes = 63;

  VmName Sender;
  Incarnation SenderIncarnation;
  /// Incremented for each datagram of an incarnation, across all receivers.
  std::uint64_t Sequence = 0;
  std::string Payload;

  auto operator<=>(const PeerEnvelope &) const = default;

  /// Maximum payload size in a datagram of this sender, in bytes.
  static std::size_t payloadLimit(const VmName &Sender);

  /// Serializes and authenticates the datagram. Precondition: the sender's name has 1 to
  /// MaxNameBytes bytes.
  std::string seal(const MessageAuthenticator &Authenticator, const VmName &Receiver) const;

  /// Authenticates and parses a datagram; does not check for replay. Never throws on bad input.
  static std::variant<PeerEnvelope, PeerError> open(std::string_view Datagram,
                                                    const MessageAuthenticator &Authenticator,
                                                    const VmName &Receiver);
};

} // namespace anvilsaddle
