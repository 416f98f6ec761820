#include "protocol/ReplayGuard.h"

namespace anvilsaddle {

std::optional<PeerRejection> ReplayGuard::check(const VmName &Sender,
                                                const Incarnation &SenderIncarnation,
                                                std::uint64_t Sequence) {
  const auto Found = this->Senders.find(Sender);
  if (Found == this->Senders.end() && this->Senders.size() >= this->MaxSenders) {
    return PeerRejection::TooManySenders;
  }
  if (Found == this->Senders.end() || Found->second.Newest < SenderIncarnation) {
    this->Senders.insert_or_assign(Sender, SenderState{SenderIncarnation, Sequence, {1}});
    return std::nullopt;
  }
  SenderState &State = Found->second;
  if (SenderIncarnation < State.Newest) {
    return PeerRejection::OlderIncarnation;
  }
  if (Sequence > State.Highest) {
    const std::uint64_t Advance = Sequence - State.Highest;
    State.Seen = Advance < WindowSize ? State.Seen << Advance : std::bitset<WindowSize>();
    State.Seen.set(0);
    State.Highest = Sequence;
    return std::nullopt;
  }
  const std::uint64_t Age = State.Highest - Sequence;
  if (Age >= WindowSize || State.Seen.test(Age)) {
    return PeerRejection::Replayed;
  }
  State.Seen.set(Age);
  return std::nullopt;
}

void ReplayGuard::retain(const std::set<VmName> &Senders) {
  std::erase_if(this->Senders, [&](const auto &Entry) { return !Senders.contains(Entry.first); });
}

} // namespace anvilsaddle
