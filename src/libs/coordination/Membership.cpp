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
/// A message goes to another region each so many rounds: twice in DeadAfter on average from every
/// entry, and far more often from a region as a whole.
constexpr std::uint32_t RemoteRounds = 3;
constexpr std::uint32_t SeedRounds = 5;
/// Records of dead entries are kept for this time; gossip about them has ended by then.
constexpr Duration DeadKept = 30s;

bool isNewer(const MemberRecord &Left, const MemberRecord &Right) {
  return std::pair(Left.Incarnation, Left.Beat) > std::pair(Right.Incarnation, Right.Beat);
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

void Membership::onMessage(const Gossip &Message, TimePoint Now) {
  for (const MemberRecord &Each : Message.Members) {
    if (Each.Address == this->Self.Address) {
      // An earlier start of this entry, whose clock may have been ahead.
      if (isNewer(Each, this->Self)) {
        this->Self.Incarnation = Each.Incarnation + 1;
      }
      continue;
    }
    const auto Gone = this->Dead.find(Each.Address);
    // An earlier incarnation is a start after the clock went back, not late gossip.
    if (Gone != this->Dead.end() && Each.Incarnation == Gone->second.Record.Incarnation &&
        !isNewer(Each, Gone->second.Record)) {
      continue;
    }
    const auto Found = this->Members.find(Each.Address);
    if (Found != this->Members.end() && !isNewer(Each, Found->second.Record)) {
      continue;
    }
    this->Dead.erase(Each.Address);
    this->Members[Each.Address] = {Each, Now};
  }
}

std::vector<OutgoingGossip> Membership::onTick(TimePoint Now) {
  // After a pause of this process the others look dead, but nothing could be heard from them.
  const Duration Pause = Now - this->LastTick;
  this->LastTick = Now;
  if (Pause > DeadAfter / 2) {
    for (auto &[Address, Each] : this->Members) {
      Each.LastRise += Pause;
    }
  }
  for (auto Next = this->Members.begin(); Next != this->Members.end();) {
    if (Now - Next->second.LastRise < DeadAfter) {
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
  this->NextRound = Now + Interval;
  ++this->Self.Beat;
  ++this->Round;
  std::vector<OutgoingGossip> Result;
  for (const std::string &Each : this->receivers()) {
    Result.push_back({Each, this->makeMessage()});
  }
  return Result;
}

std::vector<OutgoingGossip> Membership::announce() {
  ++this->Self.Beat;
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
    const bool IsNear = this->Places.regionOf(Each.Record.Domain) == this->Places.OwnRegion;
    (IsNear ? Near : Far).push_back(Address);
  }
  std::set<std::string> Result;
  for (int Count = 0; Count < RegionFanout && !Near.empty(); ++Count) {
    Result.insert(this->pick(Near));
  }
  if (!Far.empty() && this->Round % RemoteRounds == 0) {
    Result.insert(this->pick(Far));
  }
  const bool IsAlone = Near.empty() && Far.empty();
  if (!this->Seeds.empty() && (IsAlone || this->Round % SeedRounds == 0)) {
    Result.insert(this->pick({this->Seeds.begin(), this->Seeds.end()}));
  }
  return {Result.begin(), Result.end()};
}

Gossip Membership::makeMessage() const {
  Gossip Result;
  Result.Members.push_back(this->Self);
  // The receiver's own record tells it that an earlier start claims a later time.
  for (const auto &[Address, Each] : this->Members) {
    Result.Members.push_back(Each.Record);
  }
  return Result;
}

std::vector<MemberRecord> Membership::live() const {
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
