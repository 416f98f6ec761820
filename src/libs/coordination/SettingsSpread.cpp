#include "coordination/SettingsSpread.h"

#include "coordination/Membership.h"
#include "coordination/OwnerMap.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr std::size_t WatchersPerRegion = 2;
constexpr Duration PeerWait = std::chrono::seconds(2);
/// An accepted change must be in force everywhere within 3 s, so a peer that does not answer must
/// leave time for another one.
constexpr Duration FetchTimeout = std::chrono::seconds(1);
constexpr Duration MinBackoff = std::chrono::milliseconds(200);
/// Two entries whose stores cannot become equal, for example because one of them refuses a
/// revision, ask each other at this rate.
constexpr Duration MaxBackoff = std::chrono::seconds(10);

} // namespace

SettingsSpread::SettingsSpread(EntryIdentity Self, TimePoint Now)
    : Self(std::move(Self)), Started(Now) {}

bool SettingsSpread::holdsWatch(const Membership &Members, TimePoint Now) const {
  std::vector<VmName> Live = Members.liveEntries(this->Self.Region);
  if (Live.empty()) {
    return this->Serving || Now - this->Started >= PeerWait;
  }
  const std::vector<VmName> Ranked = rankByRendezvous(this->Self.Region.str(), std::move(Live));
  const auto Own = std::find(Ranked.begin(), Ranked.end(), this->Self.Vm);
  return Own != Ranked.end() && static_cast<std::size_t>(Own - Ranked.begin()) < WatchersPerRegion;
}

std::optional<VmName> SettingsSpread::nextFetch(const Membership &Members, TimePoint Now) {
  if (this->Running && Now < this->Running->second) {
    return std::nullopt;
  }
  if (this->Running) {
    this->onFetchEnd(VmName(this->Running->first), false, Members, Now);
  }
  const bool AsksOtherRegions = this->holdsWatch(Members, Now) || !this->hasLivePeer(Members);
  std::vector<VmName> Near;
  std::vector<VmName> Far;
  for (const PeerStatus &Peer : Members.peers()) {
    // Settings that a serving peer has as well need no fetch, wherever they were learned.
    if (this->Digest && Peer.Serving && Peer.State == PeerState::Alive &&
        Peer.SettingsDigest == this->Digest) {
      this->LearnedFromPeer = true;
    }
    if (!this->wantsFetch(Peer, Now)) {
      continue;
    }
    if (Peer.Region == this->Self.Region) {
      Near.push_back(Peer.Vm);
    } else if (AsksOtherRegions) {
      Far.push_back(Peer.Vm);
    }
  }
  std::vector<VmName> &Candidates = Near.empty() ? Far : Near;
  if (Candidates.empty()) {
    return std::nullopt;
  }
  // Ranking by the own name spreads the fetches of many entries over the peers.
  const VmName Chosen = rankByRendezvous(this->Self.Vm.str(), std::move(Candidates)).front();
  this->Running = std::pair(Chosen, Now + FetchTimeout);
  Attempt &Last = this->Attempts[Chosen];
  const std::uint64_t PeerDigest = Members.find(Chosen)->SettingsDigest;
  const bool Repeated = Last.OwnDigest == this->Digest && Last.PeerDigest == PeerDigest;
  Last.Backoff = Repeated ? std::clamp(2 * Last.Backoff, MinBackoff, MaxBackoff) : MinBackoff;
  Last.OwnDigest = this->Digest;
  Last.PeerDigest = PeerDigest;
  Last.RetryAt = Now + FetchTimeout + Last.Backoff;
  return Chosen;
}

void SettingsSpread::onFetchEnd(const VmName &Peer, bool Complete, const Membership &Members,
                                TimePoint Now) {
  if (!this->Running || this->Running->first != Peer) {
    return;
  }
  this->Running.reset();
  Attempt &Last = this->Attempts[Peer];
  Last.RetryAt = Now + Last.Backoff;
  const PeerStatus *Status = Members.find(Peer);
  if (Complete && this->Digest && Status && Status->Serving) {
    this->LearnedFromPeer = true;
  }
  std::erase_if(this->Attempts, [&](const auto &Each) { return !Members.find(Each.first); });
}

bool SettingsSpread::mayServe(TimePoint Now) {
  if (this->LearnedFromPeer || (this->LearnedFromService && Now - this->Started >= PeerWait)) {
    this->Serving = this->Digest.has_value();
  }
  return this->Serving;
}

std::optional<TimePoint> SettingsSpread::nextWakeup(TimePoint Now) const {
  std::optional<TimePoint> Result;
  const auto Consider = [&](TimePoint Due) {
    if (Due > Now && (!Result || Due < *Result)) {
      Result = Due;
    }
  };
  if (!this->Serving) {
    Consider(this->Started + PeerWait);
  }
  if (this->Running) {
    Consider(this->Running->second);
  }
  for (const auto &[Name, Last] : this->Attempts) {
    Consider(Last.RetryAt);
  }
  return Result;
}

bool SettingsSpread::wantsFetch(const PeerStatus &Peer, TimePoint Now) const {
  const bool Reachable = Peer.State == PeerState::Alive || Peer.State == PeerState::Departing;
  if (!Reachable || !Peer.LastHeard || Peer.SettingsDigest == this->Digest) {
    return false;
  }
  const auto Last = this->Attempts.find(Peer.Vm);
  const bool Changed = Last == this->Attempts.end() || Last->second.OwnDigest != this->Digest ||
                       Last->second.PeerDigest != Peer.SettingsDigest;
  return Changed || Last->second.RetryAt <= Now;
}

bool SettingsSpread::hasLivePeer(const Membership &Members) const {
  const std::vector<VmName> Live = Members.liveEntries(this->Self.Region);
  return std::any_of(Live.begin(), Live.end(),
                     [&](const VmName &Name) { return Name != this->Self.Vm; });
}

} // namespace anvilsaddle
