#pragma once

#include "coordination/PeerMessage.h"
#include "protocol/PeerRejection.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// Encodes and decodes peer messages in the Thrift compact protocol (peer.thrift). Thread-safe.
class PeerCodec {
public:
  /// Maximum accepted payload in bytes. Bounds the memory that the decoder uses for one datagram.
  static constexpr std::size_t MaxPayloadBytes = 1400;

  /// Encodes a message as one or more payloads of at most `Limit` bytes. A longer message is split
  /// at its list; each payload is a valid message of the same type. A payload exceeds the limit
  /// only if a single list element does. Precondition: addresses are IPv4 addresses in
  /// dotted-decimal form.
  std::vector<std::string> encode(const PeerMessage &Message,
                                  std::size_t Limit = MaxPayloadBytes) const;

  /// Decodes one complete payload. Never throws on bad input.
  std::variant<PeerMessage, PeerError> decode(std::string_view Payload) const;
};

} // namespace anvilsaddle
