#pragma once

#include "coordination/dispatch/SaturationEstimator.h"
#include "state/Identifiers.h"
#include "state/Time.h"
#include "state/Topology.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

class RandomSource;

enum class EntryState {
  /// Does not accept requests of callers yet.
  Starting,
  Ready,
  /// Shuts down soon; callers are directed to other entries.
  Leaving,
};

/// State of one entry, as it is exchanged by gossip. Value type.
struct EntryRecord {
  /// IP address, which identifies the entry.
  std::string Address;
  FailureDomainName Domain;
  /// Start time of the process in milliseconds since 1970. It is raised if an earlier run of the
  /// entry has announced a later time.
  std::int64_t Incarnation = 0;
  /// Counter that the entry increments while it runs. Among records of one incarnation, the one
  /// with the higher heartbeat is newer.
  std::uint32_t Heartbeat = 0;
  EntryState State = EntryState::Starting;

  auto operator<=>(const EntryRecord &) const = default;
};

/// Gossip message with the live entries that the sender knows, and with sums that it gives to the
/// receiver. Value type.
struct Gossip {
  std::vector<EntryRecord> Entries;
  std::vector<SaturationRecord> Saturation{};

  auto operator<=>(const Gossip &) const = default;
};

/// A gossip message and the address of its receiver.
struct OutgoingGossip {
  std::string Receiver;
  Gossip Message;

  auto operator<=>(const OutgoingGossip &) const = default;
};

/// Discovers the entries of the fleet through a few seeds and detects their failures by gossip.
///
/// Every entry increments its heartbeat in each round and sends the records of its region to a few
/// other entries. Most receivers are in its own region, because traffic between regions is charged
/// by volume; records of all regions are sent less often. An entry whose heartbeat does not
/// increase within FailureTimeout is considered dead. Seeds are contacted periodically, so that a
/// partitioned fleet merges again. A newly discovered entry receives all records immediately.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class Membership {
public:
  static constexpr Duration GossipInterval = std::chrono::milliseconds(400);
  /// The directory must not return an entry that died 7 s ago. The last heartbeat of an entry takes
  /// up to 2 s to reach all others by gossip.
  static constexpr Duration FailureTimeout = std::chrono::milliseconds(3600);

  /// Precondition: the random source outlives the object. `Seeds` are IP addresses. The address of
  /// this entry may be among them and is ignored.
  Membership(EntryRecord Self, Topology FleetTopology, std::set<std::string> Seeds,
             RandomSource &Random, TimePoint Now);

  void setState(EntryState State);
  EntryState state() const { return this->Self.State; }
  /// Incarnation of this entry, which messages must carry. It increases if an earlier run of the
  /// entry has announced a later one.
  std::int64_t incarnation() const { return this->Self.Incarnation; }
  void setSeeds(std::set<std::string> Addresses);

  /// Merges the records of another entry. Returns the messages to send immediately.
  std::vector<OutgoingGossip> onMessage(const std::string &Sender, const Gossip &Message,
                                        TimePoint Now);
  /// Removes dead entries and returns the messages to send in this round, if one is due.
  std::vector<OutgoingGossip> onTick(TimePoint Now);
  /// Messages that announce the state of this entry to all known entries, before it shuts down.
  std::vector<OutgoingGossip> makeAnnouncements();
  TimePoint nextTick() const { return this->NextRoundTime; }

  /// Live entries including this one, ordered by address.
  std::vector<EntryRecord> liveEntries() const;

private:
  struct TrackedEntry {
    EntryRecord Record;
    /// Time at which a newer record arrived, or at which the entry was considered dead.
    TimePoint LastUpdate;
    /// True if this process was paused since then. The record may be of an entry that has died
    /// meanwhile, so it is not passed on.
    bool IsFromBeforePause = false;
  };

  std::optional<std::int64_t> incarnationOf(const std::string &Address) const;
  bool isInOwnRegion(const EntryRecord &Record) const;
  void merge(const EntryRecord &Record, TimePoint Now);
  std::vector<std::string> chooseReceivers();
  Gossip makeMessage(bool IncludesAllRegions) const;
  std::string pickRandom(const std::vector<std::string> &Addresses);

  EntryRecord Self;
  Topology FleetTopology;
  std::set<std::string> Seeds;
  RandomSource &Random;
  TimePoint NextRoundTime;
  TimePoint LastTick;
  std::uint32_t RoundNumber = 0;
  std::map<std::string, TrackedEntry> OtherEntries;
  /// Last records of dead entries, so that delayed gossip does not add them again.
  std::map<std::string, TrackedEntry> DeadEntries;
};

const char *toString(EntryState State);

} // namespace anvilsaddle
