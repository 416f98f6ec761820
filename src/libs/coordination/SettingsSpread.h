#pragma once

#include "coordination/EntryIdentity.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace anvilsaddle {

class Membership;
struct PeerStatus;

/// Decides where this entry learns published settings from: which entries watch the configuration
/// service, which peer to fetch from, and when a starting entry may serve.
/// Performs no I/O and reads no clock. Times must not decrease between calls. Not thread-safe.
class SettingsSpread {
public:
  SettingsSpread(EntryIdentity Self, TimePoint Now);

  /// Digest of the settings in force here; none as long as there are no settings.
  void setDigest(std::optional<std::uint64_t> Digest) { this->Digest = Digest; }

  /// The configuration service gave settings that are in force here.
  void onServiceSettings() { this->LearnedFromService = true; }

  /// True if this entry shall hold the watch: it is one of the two highest-ranked live entries of
  /// its region or has no live peer there. A starting entry waits 2 s for a peer first.
  bool holdsWatch(const Membership &Members, TimePoint Now) const;

  /// Peer to fetch settings from now, if any; onFetchEnd() must follow. Only one fetch runs at a
  /// time. Peers of the own region come first; other regions are asked by the entries that hold
  /// the watch only, because these links are slow and billed.
  std::optional<VmName> nextFetch(const Membership &Members, TimePoint Now);

  /// `Complete` if the peer answered and all its newer settings were offered to the local store.
  /// Call setDigest() first.
  void onFetchEnd(const VmName &Peer, bool Complete, const Membership &Members, TimePoint Now);

  /// True once a starting entry learned the settings from a serving peer, or, if no peer answered
  /// for 2 s, from the configuration service. Stays true.
  bool mayServe(TimePoint Now);

  std::optional<TimePoint> nextWakeup(TimePoint Now) const;

private:
  struct Attempt {
    std::optional<std::uint64_t> OwnDigest;
    std::uint64_t PeerDigest = 0;
    Duration Backoff{0};
    TimePoint RetryAt;
  };

  bool wantsFetch(const PeerStatus &Peer, TimePoint Now) const;
  bool hasLivePeer(const Membership &Members) const;

  EntryIdentity Self;
  TimePoint Started;
  std::optional<std::uint64_t> Digest;
  bool LearnedFromPeer = false;
  bool LearnedFromService = false;
  bool Serving = false;
  /// Peer of the running fetch and when to give it up.
  std::optional<std::pair<VmName, TimePoint>> Running;
  std::map<VmName, Attempt> Attempts;
};

} // namespace anvilsaddle
