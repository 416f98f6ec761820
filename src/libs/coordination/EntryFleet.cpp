#include "coordination/EntryFleet.h"

#include "coordination/GroupTable.h"
#include "state/SettingsSnapshot.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

namespace {

/// An entry without any settings asks listed entries in turn at this interval.
constexpr Duration BootstrapInterval = std::chrono::milliseconds(500);

template <typename Elements> void append(std::vector<OutgoingMessage> &To, Elements &&From) {
  To.insert(To.end(), std::make_move_iterator(From.begin()), std::make_move_iterator(From.end()));
}

AuditEntry makeChange(std::string What, std::string From, std::string To, std::string Why) {
  AuditEntry Result;
  Result.What = std::move(What);
  Result.From = std::move(From);
  Result.To = std::move(To);
  Result.Why = std::move(Why);
  return Result;
}

} // namespace

EntryFleet::EntryFleet(EntryIdentity Self, TimePoint Now)
    : Self(std::move(Self)), Members(this->Self, Now), Grants(this->Self, Now),
      Leases(this->Self, Now), Spread(this->Self, Now), BootstrapDue(Now) {}

void EntryFleet::setView(const SettingsSnapshot &Settings, std::optional<std::uint64_t> NewDigest,
                         const VmList &NewVms, const GroupMap &NewGroups, TimePoint Now) {
  this->Entries.clear();
  for (const Vm &Machine : NewVms.Vms) {
    if (Machine.Role == VmRole::Entry) {
      this->Entries.emplace(Machine.Name, Machine);
    }
  }
  this->VmListRevision = NewVms.Revision;
  this->Groups = NewGroups;
  const auto Own = this->Entries.find(this->Self.Vm);
  this->ListedDeparting = Own != this->Entries.end() && Own->second.State == VmState::Departing;
  this->Lessors = computeLessors(Settings, NewVms, this->Self.Region);
  this->Digest = NewDigest;
  this->Spread.setDigest(NewDigest);
  this->Members.setView(Settings, NewVms, Now);
  this->Grants.setView(this->Lessors, NewVms.Revision, Now);
  this->ViewChanged = true;
  this->updateOwnership(Now);
}

void EntryFleet::setDigest(std::uint64_t NewDigest) {
  this->Digest = NewDigest;
  this->Spread.setDigest(NewDigest);
}

void EntryFleet::onSettingsFetched(const VmName &Entry, bool Complete, TimePoint Now) {
  this->Spread.onFetchEnd(Entry, Complete, this->Members, Now);
}

std::vector<OutgoingMessage> EntryFleet::onMessage(const PeerMessage &Message, TimePoint Now) {
  this->Members.onMessage(Message, Now);
  this->Leases.onMessage(Message, Now);
  if (std::holds_alternative<LeaseReply>(Message)) {
    this->OwnershipChanged = true;
  }
  return this->Grants.onMessage(Message, Now);
}

std::vector<OutgoingMessage> EntryFleet::onTick(TimePoint Now, std::vector<GroupLoad> OwnLoads,
                                                const InFlightCounts &InFlight) {
  this->Serving = this->Serving || this->Spread.mayServe(Now);
  OwnStatus Status;
  Status.State = this->ownState();
  Status.SettingsDigest = this->Digest.value_or(0);
  Status.VmListRevision = this->VmListRevision;
  Status.Groups = std::move(OwnLoads);
  this->Members.setOwnStatus(std::move(Status));

  std::vector<OutgoingMessage> Result = this->Members.onTick(Now);
  this->updateOwnership(Now);
  append(Result, this->Grants.onTick(Now));
  append(Result, this->Leases.onTick(Now, InFlight));

  const bool Watch = this->Spread.holdsWatch(this->Members, Now);
  this->WatchChanged |= Watch != this->Watching;
  this->Watching = Watch;
  for (PeerChange &Each : this->Members.takeChanges()) {
    this->Changes.push_back(makeChange("entry/" + Each.Vm.str(), toString(Each.From),
                                       toString(Each.To), std::move(Each.Why)));
  }
  return Result;
}

bool EntryFleet::takeOwnershipChange() { return std::exchange(this->OwnershipChanged, false); }

bool EntryFleet::owns(const GroupId &Group) const { return this->Owned.contains(Group); }

std::uint32_t EntryFleet::usableSlots(const GroupTarget &Target) const {
  const auto Found = this->Leased.find(Target.Target);
  if (Found == this->Leased.end() || Found->second.Reserved >= Target.Slots) {
    return 0;
  }
  return Target.Slots - Found->second.Reserved;
}

std::optional<TimePoint> EntryFleet::refreshLeases(TimePoint Now) {
  this->Leased.clear();
  std::optional<TimePoint> First;
  for (LeasedTarget &Each : this->Leases.usable(Now)) {
    First = First ? std::min(*First, Each.Until) : Each.Until;
    this->Leased.emplace(Each.Target, std::move(Each));
  }
  return First;
}

std::optional<VmName> EntryFleet::ownerOf(const GroupId &Group, TimePoint Now) const {
  if (Group.Region == this->Self.Region) {
    return chooseOwner(Group, this->Candidates);
  }
  const auto Told = this->Members.latestLoad(Group, Now);
  return Told ? std::optional(Told->Teller) : std::nullopt;
}

std::optional<GroupId> EntryFleet::bestGroup(const ServiceName &Service, const GroupTable &Own,
                                             TimePoint Now) const {
  std::optional<GroupId> Best;
  std::int64_t BestScore = 0;
  auto Next = this->Groups.lower_bound({Service, this->Self.Region, 0});
  for (; Next != this->Groups.end() && Next->first.Service == Service &&
         Next->first.Region == this->Self.Region;
       ++Next) {
    std::int64_t Score = 0;
    if (const DispatchPolicy *Policy = Own.owns(Next->first) ? Own.find(Next->first) : nullptr) {
      const DispatchLoad Load = Policy->load();
      Score = std::int64_t{Load.SpareSlots} - Load.Queued;
    } else if (const auto Told = this->Members.latestLoad(Next->first, Now)) {
      Score = std::int64_t{Told->Load.SpareSlots} - Told->Load.Queued;
    }
    if (!Best || Score > BestScore) {
      Best = Next->first;
      BestScore = Score;
    }
  }
  return Best;
}

std::optional<VmName> EntryFleet::ownerWithSpareSlots(const ServiceName &Service,
                                                      const RegionName &Region,
                                                      TimePoint Now) const {
  std::optional<VmName> Best;
  std::uint32_t BestSpare = 0;
  auto Next = this->Groups.lower_bound({Service, Region, 0});
  for (;
       Next != this->Groups.end() && Next->first.Service == Service && Next->first.Region == Region;
       ++Next) {
    const auto Told = this->Members.latestLoad(Next->first, Now);
    if (Told && Told->Load.SpareSlots > BestSpare) {
      Best = Told->Teller;
      BestSpare = Told->Load.SpareSlots;
    }
  }
  return Best;
}

bool EntryFleet::isAlive(const VmName &Entry, const Incarnation &Run) const {
  const PeerStatus *Peer = this->Members.find(Entry);
  // A peer of another region may not report here; forwarding to it finds out.
  return Peer && (!Peer->Monitored || (Peer->Run == Run && (Peer->State == PeerState::Alive ||
                                                            Peer->State == PeerState::Departing)));
}

std::vector<std::string> EntryFleet::entryAddresses(const std::vector<RegionName> &Regions,
                                                    const std::set<ServiceName> &Services,
                                                    TimePoint Now) const {
  std::vector<VmName> Ordered;
  const auto Add = [&Ordered](const VmName &Name) {
    if (std::find(Ordered.begin(), Ordered.end(), Name) == Ordered.end()) {
      Ordered.push_back(Name);
    }
  };
  for (const RegionName &Region : Regions) {
    const auto Live = this->Members.ownerCandidates(Region);
    for (const ServiceName &Service : Services) {
      auto Next = this->Groups.lower_bound({Service, Region, 0});
      for (; Next != this->Groups.end() && Next->first.Service == Service &&
             Next->first.Region == Region;
           ++Next) {
        const auto Owner = this->ownerOf(Next->first, Now);
        if (Owner && std::find(Live.begin(), Live.end(), *Owner) != Live.end()) {
          Add(*Owner);
        }
      }
    }
    std::for_each(Live.begin(), Live.end(), Add);
  }
  std::vector<std::string> Result;
  for (const VmName &Name : Ordered) {
    const auto Found = this->Entries.find(Name);
    if (Found != this->Entries.end()) {
      Result.push_back(Found->second.Address + ":" + std::to_string(Found->second.Port));
    }
  }
  return Result;
}

std::optional<Endpoint> EntryFleet::peerEndpoint(const VmName &Entry) const {
  const auto Found = this->Entries.find(Entry);
  if (Found == this->Entries.end()) {
    return std::nullopt;
  }
  return Endpoint{Found->second.Address, Found->second.PeerPort};
}

std::optional<VmName> EntryFleet::nextSettingsSource(TimePoint Now) {
  return this->Digest ? this->Spread.nextFetch(this->Members, Now) : this->nextBootstrapSource(Now);
}

std::optional<bool> EntryFleet::takeWatchChange() {
  if (!std::exchange(this->WatchChanged, false)) {
    return std::nullopt;
  }
  return this->Watching;
}

std::vector<AuditEntry> EntryFleet::takeChanges() { return std::exchange(this->Changes, {}); }

EntryState EntryFleet::ownState() const {
  if (this->Stopping || this->ListedDeparting) {
    return EntryState::Departing;
  }
  return this->Serving ? EntryState::Serving : EntryState::Starting;
}

void EntryFleet::updateOwnership(TimePoint Now) {
  auto Live = this->Members.ownerCandidates(this->Self.Region);
  if (Live == this->Candidates && !std::exchange(this->ViewChanged, false)) {
    return;
  }
  this->Candidates = std::move(Live);
  this->OwnershipChanged = true;
  std::set<GroupId> NowOwned;
  for (const auto &[Group, Members] : this->Groups) {
    if (Group.Region == this->Self.Region &&
        chooseOwner(Group, this->Candidates) == this->Self.Vm) {
      NowOwned.insert(Group);
    }
  }
  for (const GroupId &Group : NowOwned) {
    if (!this->Owned.contains(Group)) {
      this->Changes.push_back(makeChange("group/" + toString(Group), "", this->Self.Vm.str(),
                                         "highest ranked of the live entries"));
    }
  }
  for (const GroupId &Group : this->Owned) {
    if (!NowOwned.contains(Group)) {
      const auto Owner = chooseOwner(Group, this->Candidates);
      this->Changes.push_back(makeChange("group/" + toString(Group), this->Self.Vm.str(),
                                         Owner ? Owner->str() : "", "the live entries changed"));
    }
  }
  this->Owned = std::move(NowOwned);
  this->Leases.setWanted(
      ownedTargets(this->Self.Vm, this->Self.Region, this->Groups, this->Lessors, this->Candidates),
      Now);
}

std::optional<VmName> EntryFleet::nextBootstrapSource(TimePoint Now) {
  // Without settings, regions of peers are unknown, so that any listed entry is asked in turn.
  if (Now < this->BootstrapDue) {
    return std::nullopt;
  }
  std::vector<VmName> Others;
  for (const auto &[Name, Machine] : this->Entries) {
    if (Name != this->Self.Vm) {
      Others.push_back(Name);
    }
  }
  if (Others.empty()) {
    return std::nullopt;
  }
  this->BootstrapDue = Now + BootstrapInterval;
  return Others[this->BootstrapCursor++ % Others.size()];
}

} // namespace anvilsaddle
