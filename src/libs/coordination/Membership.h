#pragma once

#include "coordination/EntryIdentity.h"
#include "coordination/Messages.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

class SettingsSnapshot;
struct VmList;

enum class PeerState { Alive, Suspect, Departing, Gone };

/// What this entry knows of another listed entry.
struct PeerStatus {
  VmName Vm;
  RegionName Region;
  FailureDomainName Domain;
  PeerState State = PeerState::Suspect;
  /// False if the peer sends no heartbeats to this entry, because it is in another region and
  /// reports to others there. Its state then follows the VM list.
  bool Monitored = true;
  bool TakenOut = false;
  /// The peer said that it serves.
  bool Serving = false;
  /// Zero until the first heartbeat.
  Incarnation Run;
  std::optional<TimePoint> LastHeard;
  std::uint64_t SettingsDigest = 0;
  std::uint64_t VmListRevision = 0;

  auto operator<=>(const PeerStatus &) const = default;
};

/// Change of a peer's state, for the audit trail.
struct PeerChange {
  VmName Vm;
  PeerState From = PeerState::Suspect;
  PeerState To = PeerState::Suspect;
  std::string Why;

  auto operator<=>(const PeerChange &) const = default;
};

/// Load of a group and the entry that told it.
struct ToldLoad {
  VmName Teller;
  GroupLoad Load;
  TimePoint Heard;

  auto operator<=>(const ToldLoad &) const = default;
};

/// What this entry tells its peers about itself.
struct OwnStatus {
  EntryState State = EntryState::Starting;
  std::uint64_t SettingsDigest = 0;
  std::uint64_t VmListRevision = 0;
  std::vector<GroupLoad> Groups;

  auto operator<=>(const OwnStatus &) const = default;
};

/// Sends heartbeats and judges which entries are alive. Peers come from the VM list.
///
/// Inside a region every entry sends to every other each 200 ms. With more than 10 peers the
/// interval grows in proportion, so that the rate stays below 51 heartbeats per second. An entry
/// sends to 3 peers of each other region each second. A heartbeat carries 1 group load inside a
/// region and 4 to other regions, in rotation, so that its size is bounded.
///
/// Performs no I/O and reads no clock. Times must not decrease between calls. Not thread-safe.
class Membership {
public:
  Membership(EntryIdentity Self, TimePoint Now);

  void setView(const SettingsSnapshot &Settings, const VmList &Vms, TimePoint Now);
  void setOwnStatus(OwnStatus Status) { this->Own = std::move(Status); }

  /// Handles Heartbeat; ignores other messages, unlisted senders and older incarnations.
  void onMessage(const PeerMessage &Message, TimePoint Now);

  /// Updates the states of peers and returns due heartbeats. After a pause longer than a lease,
  /// heartbeats are due to all.
  std::vector<OutgoingMessage> onTick(TimePoint Now);
  std::optional<TimePoint> nextWakeup() const;

  /// All listed peers, ordered by name.
  std::vector<PeerStatus> peers() const;
  const PeerStatus *find(const VmName &Vm) const;

  /// Serving entries of a region that are alive, with this one if it serves and is listed as live,
  /// ordered by name.
  std::vector<VmName> liveEntries(const RegionName &Region) const;
  /// Live entries outside of taken-out failure domains, among which group owners are chosen.
  std::vector<VmName> ownerCandidates(const RegionName &Region) const;

  /// Latest load that a live peer told. Loads older than 5 s are not returned.
  std::optional<ToldLoad> latestLoad(const GroupId &Group, TimePoint Now) const;

  /// Changes since the last call, oldest first.
  std::vector<PeerChange> takeChanges();

private:
  struct Peer {
    PeerStatus Status;
    /// Interval of the heartbeats from this peer.
    Duration Interval{0};
    TimePoint ListedSince;
    /// Unset if this entry does not send to the peer.
    std::optional<TimePoint> SendDue;
    Duration SendInterval{0};
    bool ListedDeparting = false;
    std::optional<EntryState> Told;
  };

  void updateState(Peer &Each, TimePoint Now);
  void change(Peer &Each, PeerState To, std::string Why);
  Heartbeat heartbeatTo(const Peer &Each);

  EntryIdentity Self;
  OwnStatus Own;
  bool OwnTakenOut = false;
  bool OwnListedLive = false;
  TimePoint LastTick;
  std::map<VmName, Peer> Peers;
  std::map<GroupId, ToldLoad> Loads;
  std::size_t LoadCursor = 0;
  std::vector<PeerChange> Changes;
};

const char *toString(PeerState State);

} // namespace anvilsaddle
