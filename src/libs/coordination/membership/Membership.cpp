#include "coordination/membership/Membership.h"

#include "coordination/RandomSource.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Number of random receivers in the own region in each round. A record reaches 50 entries in about
/// four rounds.
constexpr int RegionFanout = 2;
/// An entry sends a message to another region in every third round, which makes three messages
/// within FailureTimeout. A region as a whole sends far more.
constexpr std::uint32_t RemoteRoundInterval = 3;
constexpr std::uint32_t SeedRoundInterval = 5;
/// Number of live entries up to which messages within a region always contain the records of all
/// regions. Up to this number they fit into the control traffic budget of 16 KB/s per entry: a
/// record takes 8 bytes, and an entry sends 6.3 messages per second. In larger fleets, records of
/// other regions are sent only every AllRegionsRoundInterval rounds, because they matter only to
/// callers whose own region has no entry and for dividing fleet-wide budgets.
constexpr std::size_t FullGossipFleetLimit = 320;
/// Number of live entries up to which messages to other regions also always contain the records of
/// all regions. In larger fleets, most of these messages contain only the records of the sender's
/// region: each pair of regions exchanges enough messages to learn of each other directly, and
/// traffic between regions is charged by volume.
constexpr std::size_t FullRemoteGossipFleetLimit = 64;
constexpr std::uint32_t AllRegionsRoundInterval = 4;
/// The last record of a dead entry is kept for this long, so that delayed gossip does not add the
/// entry again. Gossip about the entry has ended by then.
constexpr Duration DeadRecordRetention = 30s;

bool isNewer(const EntryRecord &Left, const EntryRecord &Right) {
  return std::pair(Left.Incarnation, Left.Heartbeat) >
         std::pair(Right.Incarnation, Right.Heartbeat);
}

} // namespace

const char *toString(EntryState State) {
  switch (State) {
  case EntryState::Starting:
    return "starting";
  case EntryState::Ready:
    return "ready";
  case EntryState::Leaving:
    return "leaving";
  }
  return "unknown";
}

Membership::Membership(EntryRecord Self, Topology FleetTopology, std::set<std::string> Seeds,
                       RandomSource &Random, TimePoint Now)
    : Self(std::move(Self)), FleetTopology(std::move(FleetTopology)), Seeds(std::move(Seeds)),
      Random(Random), NextRoundTime(Now), LastTick(Now) {
  this->Seeds.erase(this->Self.Address);
}

void Membership::setState(EntryState State) { this->Self.State = State; }

void Membership::setSeeds(std::set<std::string> Addresses) {
  this->Seeds = std::move(Addresses);
  this->Seeds.erase(this->Self.Address);
}

bool Membership::isInOwnRegion(const EntryRecord &Record) const {
  return this->FleetTopology.regionOf(Record.Domain) == this->FleetTopology.OwnRegion;
}

std::vector<OutgoingGossip> Membership::onMessage(const std::string &Sender, const Gossip &Message,
                                                  TimePoint Now) {
  const std::optional<std::int64_t> PreviousIncarnation = this->incarnationOf(Sender);
  for (const EntryRecord &Each : Message.Entries) {
    this->merge(Each, Now);
  }
  const std::optional<std::int64_t> CurrentIncarnation = this->incarnationOf(Sender);
  if (!CurrentIncarnation || PreviousIncarnation == CurrentIncarnation ||
      this->OtherEntries[Sender].Record.State == EntryState::Leaving) {
    return {};
  }
  return {{Sender, this->makeMessage(true)}};
}

std::optional<std::int64_t> Membership::incarnationOf(const std::string &Address) const {
  const auto Found = this->OtherEntries.find(Address);
  if (Found == this->OtherEntries.end()) {
    return std::nullopt;
  }
  return Found->second.Record.Incarnation;
}

void Membership::merge(const EntryRecord &Record, TimePoint Now) {
  if (Record.Address == this->Self.Address) {
    // The record is from an earlier run of this entry, whose clock may have been ahead.
    if (isNewer(Record, this->Self)) {
      this->Self.Incarnation = Record.Incarnation + 1;
    }
    return;
  }
  const auto DeadEntry = this->DeadEntries.find(Record.Address);
  // A record with an earlier incarnation is accepted: the entry restarted after its clock was set
  // back.
  if (DeadEntry != this->DeadEntries.end() &&
      Record.Incarnation == DeadEntry->second.Record.Incarnation &&
      !isNewer(Record, DeadEntry->second.Record)) {
    return;
  }
  const auto Found = this->OtherEntries.find(Record.Address);
  if (Found != this->OtherEntries.end() && !isNewer(Record, Found->second.Record)) {
    return;
  }
  this->DeadEntries.erase(Record.Address);
  this->OtherEntries[Record.Address] = {Record, Now};
}

std::vector<OutgoingGossip> Membership::onTick(TimePoint Now) {
  // While this process was paused it could not receive heartbeats, so the pause does not count
  // towards the timeouts of the other entries.
  const Duration TimeSinceLastTick = Now - this->LastTick;
  this->LastTick = Now;
  if (TimeSinceLastTick > FailureTimeout / 2) {
    for (auto &[Address, Each] : this->OtherEntries) {
      Each.LastUpdate += TimeSinceLastTick;
      Each.IsFromBeforePause = true;
    }
  }
  for (auto It = this->OtherEntries.begin(); It != this->OtherEntries.end();) {
    if (Now - It->second.LastUpdate < FailureTimeout) {
      ++It;
      continue;
    }
    this->DeadEntries[It->first] = {It->second.Record, Now};
    It = this->OtherEntries.erase(It);
  }
  std::erase_if(this->DeadEntries, [Now](const auto &Each) {
    return Now - Each.second.LastUpdate >= DeadRecordRetention;
  });
  if (Now < this->NextRoundTime) {
    return {};
  }
  this->NextRoundTime = Now + GossipInterval;
  ++this->Self.Heartbeat;
  ++this->RoundNumber;
  const bool IsAllRegionsRound = this->RoundNumber % AllRegionsRoundInterval == 0;
  std::vector<OutgoingGossip> Result;
  for (const std::string &Each : this->chooseReceivers()) {
    const auto Receiver = this->OtherEntries.find(Each);
    const bool IsRemote =
        Receiver != this->OtherEntries.end() && !this->isInOwnRegion(Receiver->second.Record);
    const bool IncludesAllRegions = IsAllRegionsRound ||
                                    this->OtherEntries.size() < FullRemoteGossipFleetLimit ||
                                    (!IsRemote && this->OtherEntries.size() < FullGossipFleetLimit);
    Result.push_back({Each, this->makeMessage(IncludesAllRegions)});
  }
  return Result;
}

std::vector<OutgoingGossip> Membership::makeAnnouncements() {
  ++this->Self.Heartbeat;
  std::vector<OutgoingGossip> Result;
  for (const auto &[Address, Each] : this->OtherEntries) {
    Result.push_back({Address, Gossip{{this->Self}}});
  }
  return Result;
}

std::string Membership::pickRandom(const std::vector<std::string> &Addresses) {
  const auto Count = static_cast<double>(Addresses.size());
  return Addresses[static_cast<std::size_t>(this->Random.uniform() * Count)];
}

std::vector<std::string> Membership::chooseReceivers() {
  std::vector<std::string> OwnRegion;
  std::vector<std::string> OtherRegions;
  for (const auto &[Address, Each] : this->OtherEntries) {
    (this->isInOwnRegion(Each.Record) ? OwnRegion : OtherRegions).push_back(Address);
  }
  std::set<std::string> Result;
  for (int Count = 0; Count < RegionFanout && !OwnRegion.empty(); ++Count) {
    Result.insert(this->pickRandom(OwnRegion));
  }
  // The only entry of its region sends to another region in every round, because no other entry
  // passes its heartbeats on.
  if (!OtherRegions.empty() &&
      (OwnRegion.empty() || this->RoundNumber % RemoteRoundInterval == 0)) {
    Result.insert(this->pickRandom(OtherRegions));
  }
  const bool KnowsNoOtherEntry = OwnRegion.empty() && OtherRegions.empty();
  if (!this->Seeds.empty() && (KnowsNoOtherEntry || this->RoundNumber % SeedRoundInterval == 0)) {
    Result.insert(this->pickRandom({this->Seeds.begin(), this->Seeds.end()}));
  }
  return {Result.begin(), Result.end()};
}

Gossip Membership::makeMessage(bool IncludesAllRegions) const {
  Gossip Result;
  Result.Entries.push_back(this->Self);
  // The message includes the receiver's own record, so that the receiver learns if an earlier run
  // has announced a later incarnation.
  for (const auto &[Address, Each] : this->OtherEntries) {
    if (!Each.IsFromBeforePause && (IncludesAllRegions || this->isInOwnRegion(Each.Record))) {
      Result.Entries.push_back(Each.Record);
    }
  }
  return Result;
}

std::vector<EntryRecord> Membership::liveEntries() const {
  std::vector<EntryRecord> Result;
  for (const auto &[Address, Each] : this->OtherEntries) {
    Result.push_back(Each.Record);
  }
  const auto Position = std::lower_bound(Result.begin(), Result.end(), this->Self,
                                         [](const EntryRecord &Left, const EntryRecord &Right) {
                                           return Left.Address < Right.Address;
                                         });
  Result.insert(Position, this->Self);
  return Result;
}

} // namespace anvilsaddle
