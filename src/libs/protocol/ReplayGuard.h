#pragma once

#include "coordination/membership/Incarnation.h"
#include "protocol/PeerRejection.h"
#include "state/Identifiers.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace anvilsaddle {

/// Accepts each sequence number of the newest incarnation of a sender once, in any order within a
/// window. Call it only for authenticated datagrams. Memory is bounded by the number of senders.
/// Not thread-safe.
class ReplayGuard {
public:
  /// Sequence numbers further than this behind the newest one are rejected. A sender in a region
  /// sends about 20 datagrams per second to one receiver, so reordering by several seconds is
  /// tolerated.
  static constexpr std::size_t WindowSize = 256;
  static constexpr std::size_t DefaultMaxSenders = 4096;

  explicit ReplayGuard(std::size_t MaxSenders = DefaultMaxSenders) : MaxSenders(MaxSenders) {}

  /// Records the sequence number and returns nothing if it is new, otherwise returns the reason for
  /// its rejection. A rejected number changes no state.
  std::optional<PeerRejection> check(const VmName &Sender, const Incarnation &SenderIncarnation,
                                     std::uint64_t Sequence);

  /// Removes the state of all other senders. Old datagrams of a removed sender would be accepted
  /// again, so keep every VM whose messages still have an effect.
  void retain(const std::set<VmName> &Senders);

  std::size_t senderCount() const { return this->Senders.size(); }

private:
  struct SenderState {
    Incarnation Newest;
    std::uint64_t Highest = 0;
    /// Bit n is set if `Highest - n` was received.
    std::bitset<WindowSize> Seen;
  };

  std::size_t MaxSenders;
  std::map<VmName, SenderState> Senders;
};

} // namespace anvilsaddle
