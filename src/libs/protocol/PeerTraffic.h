#pragma once

#include "protocol/PeerRejection.h"

#include <array>
#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// Traffic between entries since the start of the process. Byte counts are UDP payload without the
/// headers of lower layers. Value type.
struct PeerTraffic {
  std::uint64_t DatagramsIn = 0;
  /// Includes rejected datagrams.
  std::uint64_t BytesIn = 0;
  std::uint64_t DatagramsOut = 0;
  std::uint64_t BytesOut = 0;
  /// Datagrams dropped because the socket could not send them.
  std::uint64_t SendFailures = 0;
  /// Indexed by PeerRejection.
  std::array<std::uint64_t, PeerRejectionCount> Rejected{};

  std::uint64_t rejected(PeerRejection Reason) const {
    return this->Rejected.at(static_cast<std::size_t>(Reason));
  }

  auto operator<=>(const PeerTraffic &) const = default;
};

} // namespace anvilsaddle
