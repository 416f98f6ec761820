#pragma once

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
  /// Not ready for callers yet.
  Starting,
  Ready,
  /// About to end; callers are sent elsewhere.
  Leaving,
};

/// One entry as gossip tells of it. Value type.
struct MemberRecord {
  /// IP number, which names the entry.
  std::string Address;
  FailureDomainName Domain;
  /// Start of the process, milliseconds since 1970; raised if an earlier start claims a later time.
  std::int64_t Incarnation = 0;
  /// Rises while the process runs. A record with a higher beat is newer.
  std::uint32_t Heartbeat = 0;
  EntryState State = EntryState::Starting;

  auto operator<=>(const MemberRecord &) const = default;
};

/// Message between entries: what the sender knows of the live ones. Value type.
struct Gossip {
  std::vector<MemberRecord> Members;

  auto operator<=>(const Gossip &) const = default;
};

/// A message and the entry that gets it.
struct OutgoingGossip {
  std::string Receiver;
  Gossip Message;

  auto operator<=>(const OutgoingGossip &) const = default;
};

/// Finds the entries of the fleet from a few seeds and tells which of them are alive.
///
/// Every entry raises its beat each interval and sends the records of its region to a few others,
/// most of them in its region, because links between regions are paid by volume; now and then it
/// sends those of all regions. An entry whose beat stands still is taken to be dead. Seeds are
/// asked again and again, so that parts of the fleet that lost each other find back. An entry that
/// was unknown gets all records at once.
///
/// Performs no I/O and reads no clock; times must not decrease. Not thread-safe.
class Membership {
public:
  static constexpr Duration GossipInterval = std::chrono::milliseconds(400);
  /// Directory answers must not name an entry that died 7 s ago; gossip of its last beat takes up
  /// to 2 s.
  static constexpr Duration FailureTimeout = std::chrono::milliseconds(3600);

  /// Precondition: the random source outlives the object. `Seeds` are IP numbers and may contain
  /// this entry's own, which is ignored.
  Membership(MemberRecord Self, Topology Places, std::set<std::string> Seeds, RandomSource &Random,
             TimePoint Now);

  void setState(EntryState State);
  EntryState state() const { return this->Self.State; }
  /// Rises above the claim of an earlier start; messages must carry it.
  std::int64_t incarnation() const { return this->Self.Incarnation; }
  void setSeeds(std::set<std::string> Addresses);

  /// Takes over what another entry tells. Returns the messages that are due at once.
  std::vector<OutgoingGossip> onMessage(const std::string &Sender, const Gossip &Message,
                                        TimePoint Now);
  /// Forgets dead entries and returns the messages that are due.
  std::vector<OutgoingGossip> onTick(TimePoint Now);
  /// Messages that tell every known entry of this one's state at once, before it ends.
  std::vector<OutgoingGossip> announce();
  TimePoint nextWakeup() const { return this->NextRound; }

  /// Live entries with this one, ordered by address.
  std::vector<MemberRecord> liveMembers() const;

private:
  struct Known {
    MemberRecord Record;
    TimePoint LastRise;
  };

  std::optional<std::int64_t> incarnationOf(const std::string &Address) const;
  bool isNear(const MemberRecord &Record) const;
  void take(const MemberRecord &Record, TimePoint Now);
  std::vector<std::string> receivers();
  Gossip makeMessage(bool AllRegions) const;
  std::string pick(const std::vector<std::string> &Addresses);

  MemberRecord Self;
  Topology Places;
  std::set<std::string> Seeds;
  RandomSource &Random;
  TimePoint NextRound;
  TimePoint LastTick;
  std::uint32_t Round = 0;
  std::map<std::string, Known> Members;
  /// Last incarnation and beat of dead entries, so that late gossip doesn't bring them back.
  std::map<std::string, Known> Dead;
};

const char *toString(EntryState State);

} // namespace anvilsaddle
