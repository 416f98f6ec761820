#pragma once

#include "protocol/PeerRejection.h"

#include <array>
#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// Datagrams between entries since the start of the process, as UDP payload without lower headers.
/// Value type.
struct PeerTraffic {
  std::uint64_t DatagramsIn = 0;
  /// Includes rejected datagrams.
  std::uint64_t BytesIn = 0;
  std::uint64_t DatagramsOut = 0;
  std::uint64_t BytesOut = 0;
  /// Datagrams dropped because the socket could not take them.
  std::uint64_t SendFailures = 0;
  /// Indexed by PeerRejection.
  std::array<std::uint64_t, PeerRejectionCount> Rejected{};

  std::uint64_t rejected(PeerRejection Reason) const {
    return this->Rejected.at(static_cast<std::size_t>(Reason));
  }

  auto operator<=>(const PeerTraffic &) const = default;
};

} // namespace anvilsaddle
