#include "coordination/Membership.h"

#include "coordination/RandomSource.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Entries of the region that get a message each round. Records reach 50 entries in about four
/// rounds.
constexpr int RegionFanout = 2;
/// A message goes to another region each so many rounds: twice in FailureTimeout on average from
/// every entry, and far more often from a region as a whole.
constexpr std::uint32_t RemoteRounds = 3;
constexpr std::uint32_t SeedRounds = 5;
/// Up to this size all records fit into the 16 KB/s that an entry may spend for control: a record
/// takes 8 bytes, and an entry sends 6.3 messages a second. Larger fleets tell of other regions
/// only each so many rounds; their entries matter only to callers whose own region has none, and to
/// the shares of common budgets.
constexpr std::size_t MaxWholeFleet = 320;
/// Larger fleets have enough messages between each two regions that a message to another region
/// need not tell of a third; links between regions are paid by volume.
constexpr std::size_t MaxSmallFleet = 64;
constexpr std::uint32_t AllRegionsRounds = 4;
/// Records of dead entries are kept for this time; gossip about them has ended by then.
constexpr Duration DeadKept = 30s;

bool isNewer(const MemberRecord &Left, const MemberRecord &Right) {
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

Membership::Membership(MemberRecord Self, Topology Places, std::set<std::string> Seeds,
                       RandomSource &Random, TimePoint Now)
    : Self(std::move(Self)), Places(std::move(Places)), Seeds(std::move(Seeds)), Random(Random),
      NextRound(Now), LastTick(Now) {
  this->Seeds.erase(this->Self.Address);
}

void Membership::setState(EntryState State) { this->Self.State = State; }

void Membership::setSeeds(std::set<std::string> Addresses) {
  this->Seeds = std::move(Addresses);
  this->Seeds.erase(this->Self.Address);
}

bool Membership::isNear(const MemberRecord &Record) const {
  return this->Places.regionOf(Record.Domain) == this->Places.OwnRegion;
}

std::vector<OutgoingGossip> Membership::onMessage(const std::string &Sender, const Gossip &Message,
                                                  TimePoint Now) {
  const std::optional<std::int64_t> Before = this->incarnationOf(Sender);
  for (const MemberRecord &Each : Message.Members) {
    this->take(Each, Now);
  }
  const std::optional<std::int64_t> After = this->incarnationOf(Sender);
  if (!After || Before == After || this->Members[Sender].Record.State == EntryState::Leaving) {
    return {};
  }
  return {{Sender, this->makeMessage(true)}};
}

std::optional<std::int64_t> Membership::incarnationOf(const std::string &Address) const {
  const auto Found = this->Members.find(Address);
  if (Found == this->Members.end()) {
    return std::nullopt;
  }
  return Found->second.Record.Incarnation;
}

void Membership::take(const MemberRecord &Record, TimePoint Now) {
  if (Record.Address == this->Self.Address) {
    // An earlier start of this entry, whose clock may have been ahead.
    if (isNewer(Record, this->Self)) {
      this->Self.Incarnation = Record.Incarnation + 1;
    }
    return;
  }
  const auto Gone = this->Dead.find(Record.Address);
  // An earlier incarnation is a start after the clock went back, not late gossip.
  if (Gone != this->Dead.end() && Record.Incarnation == Gone->second.Record.Incarnation &&
      !isNewer(Record, Gone->second.Record)) {
    return;
  }
  const auto Found = this->Members.find(Record.Address);
  if (Found != this->Members.end() && !isNewer(Record, Found->second.Record)) {
    return;
  }
  this->Dead.erase(Record.Address);
  this->Members[Record.Address] = {Record, Now};
}

std::vector<OutgoingGossip> Membership::onTick(TimePoint Now) {
  // After a pause of this process the others look dead, but nothing could be heard from them.
  const Duration Pause = Now - this->LastTick;
  this->LastTick = Now;
  if (Pause > FailureTimeout / 2) {
    for (auto &[Address, Each] : this->Members) {
      Each.LastRise += Pause;
    }
  }
  for (auto Next = this->Members.begin(); Next != this->Members.end();) {
    if (Now - Next->second.LastRise < FailureTimeout) {
      ++Next;
      continue;
    }
    this->Dead[Next->first] = {Next->second.Record, Now};
    Next = this->Members.erase(Next);
  }
  std::erase_if(this->Dead,
                [Now](const auto &Each) { return Now - Each.second.LastRise >= DeadKept; });
  if (Now < this->NextRound) {
    return {};
  }
  this->NextRound = Now + GossipInterval;
  ++this->Self.Heartbeat;
  ++this->Round;
  const bool IsWholeRound = this->Round % AllRegionsRounds == 0;
  std::vector<OutgoingGossip> Result;
  for (const std::string &Each : this->receivers()) {
    const auto Known = this->Members.find(Each);
    const bool IsFar = Known != this->Members.end() && !this->isNear(Known->second.Record);
    const bool AllRegions = IsWholeRound || this->Members.size() < MaxSmallFleet ||
                            (!IsFar && this->Members.size() < MaxWholeFleet);
    Result.push_back({Each, this->makeMessage(AllRegions)});
  }
  return Result;
}

std::vector<OutgoingGossip> Membership::announce() {
  ++this->Self.Heartbeat;
  std::vector<OutgoingGossip> Result;
  for (const auto &[Address, Each] : this->Members) {
    Result.push_back({Address, Gossip{{this->Self}}});
  }
  return Result;
}

std::string Membership::pick(const std::vector<std::string> &Addresses) {
  const auto Count = static_cast<double>(Addresses.size());
  return Addresses[static_cast<std::size_t>(this->Random.uniform() * Count)];
}

std::vector<std::string> Membership::receivers() {
  std::vector<std::string> Near;
  std::vector<std::string> Far;
  for (const auto &[Address, Each] : this->Members) {
    (this->isNear(Each.Record) ? Near : Far).push_back(Address);
  }
  std::set<std::string> Result;
  for (int Count = 0; Count < RegionFanout && !Near.empty(); ++Count) {
    Result.insert(this->pick(Near));
  }
  // An entry that is alone in its region has nobody who passes its beats on.
  if (!Far.empty() && (Near.empty() || this->Round % RemoteRounds == 0)) {
    Result.insert(this->pick(Far));
  }
  const bool IsAlone = Near.empty() && Far.empty();
  if (!this->Seeds.empty() && (IsAlone || this->Round % SeedRounds == 0)) {
    Result.insert(this->pick({this->Seeds.begin(), this->Seeds.end()}));
  }
  return {Result.begin(), Result.end()};
}

Gossip Membership::makeMessage(bool AllRegions) const {
  Gossip Result;
  Result.Members.push_back(this->Self);
  // The receiver's own record tells it that an earlier start claims a later time.
  for (const auto &[Address, Each] : this->Members) {
    if (AllRegions || this->isNear(Each.Record)) {
      Result.Members.push_back(Each.Record);
    }
  }
  return Result;
}

std::vector<MemberRecord> Membership::liveMembers() const {
  std::vector<MemberRecord> Result;
  for (const auto &[Address, Each] : this->Members) {
    Result.push_back(Each.Record);
  }
  const auto Place = std::lower_bound(Result.begin(), Result.end(), this->Self,
                                      [](const MemberRecord &Left, const MemberRecord &Right) {
                                        return Left.Address < Right.Address;
                                      });
  Result.insert(Place, this->Self);
  return Result;
}

} // namespace anvilsaddle
