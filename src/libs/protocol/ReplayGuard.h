#pragma once

#include "coordination/Incarnation.h"
#include "protocol/PeerRejection.h"
#include "state/Identifiers.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace anvilsaddle {

/// Accepts each sequence number of a sender's newest incarnation once, in any order within a
/// window. Call it only for authenticated datagrams. Its memory is bounded by the number of
/// senders. Not thread-safe.
class ReplayGuard {
public:
  /// Sequence numbers further than this behind the newest are refused. A sender in a region sends
  /// some 20 datagrams a second to one receiver, so this tolerates seconds of reordering.
  static constexpr std::size_t WindowSize = 256;
  static constexpr std::size_t DefaultMaxSenders = 4096;

  explicit ReplayGuard(std::size_t MaxSenders = DefaultMaxSenders) : MaxSenders(MaxSenders) {}

  /// Records the number and returns nothing if it is fresh, otherwise the reason to refuse it. A
  /// refused number changes nothing.
  std::optional<PeerRejection> check(const VmName &Sender, const Incarnation &SenderIncarnation,
                                     std::uint64_t Sequence);

  /// Forgets all other senders. A forgotten sender's old datagrams would be accepted again, so keep
  /// every VM whose messages are still acted upon.
  void retain(const std::set<VmName> &Senders);

  std::size_t senderCount() const { return this->Senders.size(); }

private:
  struct SenderState {
    Incarnation Newest;
    std::uint64_t Highest = 0;
    /// Bit n is set if Highest - n was seen.
    std::bitset<WindowSize> Seen;
  };

  std::size_t MaxSenders;
  std::map<VmName, SenderState> Senders;
};

} // namespace anvilsaddle
