#pragma once

#include "coordination/Messages.h"
#include "protocol/PeerRejection.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// Writes and reads peer messages in the Thrift compact protocol (peer.thrift). The sender and its
/// incarnation travel in the envelope and are passed to the reader. Thread-safe.
class PeerCodec {
public:
  /// Largest accepted input in bytes. Bounds the memory that one datagram can make the reader use.
  static constexpr std::size_t MaxPayloadBytes = 1400;

  /// Writes a message as one or more payloads of at most `Limit` bytes. A longer message is split
  /// at its list; each part is a valid message of the same kind that repeats the other fields, so a
  /// receiver must treat each list as a part of the whole. Only a message whose fields without the
  /// list, or with a single element, exceed the limit gives a longer payload.
  std::vector<std::string> encode(const PeerMessage &Message,
                                  std::size_t Limit = MaxPayloadBytes) const;

  /// Reads one payload completely. Never throws on bad input.
  std::variant<PeerMessage, PeerError> decode(std::string_view Payload, const VmName &Sender,
                                              const Incarnation &SenderIncarnation) const;
};

} // namespace anvilsaddle
