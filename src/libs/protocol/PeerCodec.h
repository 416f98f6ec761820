#pragma once

#include "coordination/PeerMessage.h"
#include "protocol/PeerRejection.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// Writes and reads peer messages in the Thrift compact protocol (peer.thrift). Thread-safe.
class PeerCodec {
public:
  /// Largest accepted input in bytes. Bounds the memory that one datagram can make the reader use.
  static constexpr std::size_t MaxPayloadBytes = 1400;

  /// Writes a message as one or more payloads of at most `Limit` bytes. A longer message is split
  /// at its list; each part is a valid message of the same kind. Only a message with a single
  /// element that exceeds the limit gives a longer payload. Precondition: addresses are IPv4
  /// numbers.
  std::vector<std::string> encode(const PeerMessage &Message,
                                  std::size_t Limit = MaxPayloadBytes) const;

  /// Reads one payload completely. Never throws on bad input.
  std::variant<PeerMessage, PeerError> decode(std::string_view Payload) const;
};

} // namespace anvilsaddle
