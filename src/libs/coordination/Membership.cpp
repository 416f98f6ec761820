#include "coordination/Membership.h"

#include "coordination/LeaseTerms.h"
#include "coordination/OwnerMap.h"
#include "state/SettingsSnapshot.h"
#include "state/VmList.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr Duration RegionInterval = std::chrono::milliseconds(200);
constexpr Duration RemoteInterval = std::chrono::seconds(1);
/// At 10 peers, 50 heartbeats of about 180 bytes cost 9 KB/s of the 16 KB/s that a VM may use.
constexpr std::size_t FullRatePeers = 10;
constexpr std::size_t RemoteFanOut = 3;
constexpr int SuspectIntervals = 5;
constexpr int GoneIntervals = 25;
constexpr std::size_t RegionLoads = 1;
constexpr std::size_t RemoteLoads = 4;
constexpr Duration LoadLifetime = std::chrono::seconds(5);
/// Bounds memory if nobody takes the changes.
constexpr std::size_t MaxChanges = 1000;

Duration regionInterval(std::size_t PeerCount) {
  const std::size_t Factor = (PeerCount + FullRatePeers - 1) / FullRatePeers;
  return RegionInterval * static_cast<Duration::rep>(std::max<std::size_t>(1, Factor));
}

/// Entries of a region to which an entry of another region reports.
std::vector<VmName> remoteReceivers(const VmName &Sender, const std::vector<VmName> &Entries) {
  std::vector<VmName> Result = rankByRendezvous(Sender.str(), Entries);
  Result.resize(std::min(Result.size(), RemoteFanOut));
  return Result;
}

bool contains(const std::vector<VmName> &Names, const VmName &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

Membership::Membership(EntryIdentity Self, TimePoint Now) : Self(std::move(Self)), LastTick(Now) {}

void Membership::setView(const SettingsSnapshot &Settings, const VmList &Vms, TimePoint Now) {
  std::map<RegionName, std::vector<VmName>> Entries;
  std::map<VmName, std::pair<const Vm *, const FailureDomain *>> Listed;
  this->OwnListedLive = false;
  for (const Vm &Machine : Vms.Vms) {
    const FailureDomain *Domain = Settings.findDomain(Machine.Domain);
    if (Machine.Role != VmRole::Entry || !Domain) {
      continue;
    }
    Entries[Domain->Region].push_back(Machine.Name);
    if (Machine.Name == this->Self.Vm) {
      this->OwnTakenOut = Domain->TakenOut;
      this->OwnListedLive = Machine.State == VmState::Live;
    } else {
      Listed.emplace(Machine.Name, std::pair(&Machine, Domain));
    }
  }
  for (auto Each = this->Peers.begin(); Each != this->Peers.end();) {
    if (Listed.contains(Each->first)) {
      ++Each;
      continue;
    }
    this->change(Each->second, PeerState::Gone, "removed from the VM list");
    Each = this->Peers.erase(Each);
  }
  std::map<RegionName, std::vector<VmName>> Receivers;
  for (const auto &[Region, Names] : Entries) {
    Receivers[Region] = remoteReceivers(this->Self.Vm, Names);
  }
  const std::vector<VmName> &OwnRegion = Entries[this->Self.Region];
  const std::size_t PeerCount = OwnRegion.size() - (contains(OwnRegion, this->Self.Vm) ? 1 : 0);
  for (const auto &[Name, Info] : Listed) {
    const auto &[Machine, Domain] = Info;
    const auto [Stored, Added] = this->Peers.try_emplace(Name);
    Peer &Each = Stored->second;
    if (Added) {
      Each.Status.Vm = Name;
      Each.ListedSince = Now;
    }
    const bool SameRegion = Domain->Region == this->Self.Region;
    Each.Status.Region = Domain->Region;
    Each.Status.Domain = Machine->Domain;
    Each.Status.TakenOut = Domain->TakenOut;
    Each.ListedDeparting = Machine->State == VmState::Departing;
    Each.Interval = SameRegion ? regionInterval(PeerCount) : RemoteInterval;
    Each.SendInterval = Each.Interval;
    const bool Reports = SameRegion || contains(remoteReceivers(Name, OwnRegion), this->Self.Vm);
    if (Reports && !Each.Status.Monitored) {
      Each.ListedSince = Now;
    }
    Each.Status.Monitored = Reports;
    if (!SameRegion && !contains(Receivers[Domain->Region], Name)) {
      Each.SendDue.reset();
    } else if (!Each.SendDue) {
      Each.SendDue = Now;
    }
    this->updateState(Each, Now);
  }
}

void Membership::onMessage(const PeerMessage &Message, TimePoint Now) {
  const auto *Beat = std::get_if<Heartbeat>(&Message);
  if (!Beat) {
    return;
  }
  const auto Found = this->Peers.find(Beat->Sender);
  if (Found == this->Peers.end() || Beat->SenderIncarnation < Found->second.Status.Run) {
    return;
  }
  Peer &Each = Found->second;
  if (Beat->SenderIncarnation != Each.Status.Run) {
    std::erase_if(this->Loads,
                  [&](const auto &Load) { return Load.second.Teller == Beat->Sender; });
    if (Each.Status.LastHeard) {
      this->change(Each, PeerState::Suspect, "restarted");
    }
    Each.Told.reset();
  }
  Each.Status.Run = Beat->SenderIncarnation;
  Each.Status.LastHeard = Now;
  Each.Status.SettingsDigest = Beat->SettingsDigest;
  Each.Status.VmListRevision = Beat->VmListRevision;
  // A delayed heartbeat must not undo an announced departure.
  if (Each.Told != EntryState::Departing) {
    const bool LateStart = Each.Told == EntryState::Serving && Beat->State == EntryState::Starting;
    Each.Told = LateStart ? EntryState::Serving : Beat->State;
  }
  for (const GroupLoad &Load : Beat->Groups) {
    this->Loads[Load.Group] = ToldLoad{Beat->Sender, Load, Now};
  }
  this->updateState(Each, Now);
}

std::vector<OutgoingMessage> Membership::onTick(TimePoint Now) {
  const bool Paused = Now - this->LastTick > LeaseLength;
  this->LastTick = Now;
  std::vector<OutgoingMessage> Out;
  for (auto &[Name, Each] : this->Peers) {
    if (Paused) {
      // Silence during the own pause says nothing about the peer.
      Each.ListedSince = Now;
    }
    this->updateState(Each, Now);
    if (!Each.SendDue || (*Each.SendDue > Now && !Paused)) {
      continue;
    }
    // Keeps the phase unless the tick was late by more than an interval.
    const TimePoint Next = *Each.SendDue + Each.SendInterval;
    Each.SendDue = Next > Now ? Next : Now + Each.SendInterval;
    Out.push_back({Name, this->heartbeatTo(Each)});
  }
  std::erase_if(this->Loads,
                [&](const auto &Load) { return Load.second.Heard + LoadLifetime < Now; });
  return Out;
}

std::optional<TimePoint> Membership::nextWakeup() const {
  std::optional<TimePoint> Result;
  for (const auto &[Name, Each] : this->Peers) {
    if (Each.SendDue && (!Result || *Each.SendDue < *Result)) {
      Result = Each.SendDue;
    }
  }
  return Result;
}

std::vector<PeerStatus> Membership::peers() const {
  std::vector<PeerStatus> Result;
  Result.reserve(this->Peers.size());
  for (const auto &[Name, Each] : this->Peers) {
    Result.push_back(Each.Status);
  }
  return Result;
}

const PeerStatus *Membership::find(const VmName &Vm) const {
  const auto Found = this->Peers.find(Vm);
  return Found == this->Peers.end() ? nullptr : &Found->second.Status;
}

std::vector<VmName> Membership::liveEntries(const RegionName &Region) const {
  std::vector<VmName> Result;
  for (const auto &[Name, Each] : this->Peers) {
    const bool Serves = Each.Status.Serving || !Each.Status.Monitored;
    if (Each.Status.Region == Region && Each.Status.State == PeerState::Alive && Serves) {
      Result.push_back(Name);
    }
  }
  // Peers judge this entry by the list too; without this check two entries would claim a group.
  if (Region == this->Self.Region && this->Own.State == EntryState::Serving &&
      this->OwnListedLive) {
    Result.insert(std::lower_bound(Result.begin(), Result.end(), this->Self.Vm), this->Self.Vm);
  }
  return Result;
}

std::vector<VmName> Membership::ownerCandidates(const RegionName &Region) const {
  std::vector<VmName> Result = this->liveEntries(Region);
  std::erase_if(Result, [&](const VmName &Name) {
    const PeerStatus *Status = this->find(Name);
    return Status ? Status->TakenOut : this->OwnTakenOut;
  });
  return Result;
}

std::optional<ToldLoad> Membership::latestLoad(const GroupId &Group, TimePoint Now) const {
  const auto Found = this->Loads.find(Group);
  if (Found == this->Loads.end() || Found->second.Heard + LoadLifetime < Now) {
    return std::nullopt;
  }
  const PeerStatus *Teller = this->find(Found->second.Teller);
  if (!Teller || Teller->State != PeerState::Alive) {
    return std::nullopt;
  }
  return Found->second;
}

std::vector<PeerChange> Membership::takeChanges() { return std::exchange(this->Changes, {}); }

void Membership::updateState(Peer &Each, TimePoint Now) {
  const bool Departing = Each.ListedDeparting || Each.Told == EntryState::Departing;
  Each.Status.Serving = Each.Told == EntryState::Serving;
  if (!Each.Status.Monitored) {
    const PeerState State = Departing ? PeerState::Departing : PeerState::Alive;
    this->change(Each, State, "as listed");
    return;
  }
  const TimePoint Since =
      std::max(Each.Status.LastHeard.value_or(Each.ListedSince), Each.ListedSince);
  const Duration Silence = Now - Since;
  if (Silence >= GoneIntervals * Each.Interval) {
    this->change(Each, PeerState::Gone, "no heartbeat for 25 intervals");
  } else if (Departing) {
    this->change(Each, PeerState::Departing, Each.ListedDeparting ? "as listed" : "announced");
  } else if (Silence >= SuspectIntervals * Each.Interval) {
    this->change(Each, PeerState::Suspect, "no heartbeat for 5 intervals");
  } else if (Each.Status.LastHeard && *Each.Status.LastHeard >= Each.ListedSince) {
    this->change(Each, PeerState::Alive, "heartbeat received");
  }
}

void Membership::change(Peer &Each, PeerState To, std::string Why) {
  if (Each.Status.State == To) {
    return;
  }
  if (this->Changes.size() < MaxChanges) {
    this->Changes.push_back({Each.Status.Vm, Each.Status.State, To, std::move(Why)});
  }
  Each.Status.State = To;
}

Heartbeat Membership::heartbeatTo(const Peer &Each) {
  Heartbeat Result;
  Result.Sender = this->Self.Vm;
  Result.SenderIncarnation = this->Self.Run;
  Result.ReceiverIncarnation = Each.Status.Run;
  Result.State = this->Own.State;
  Result.SettingsDigest = this->Own.SettingsDigest;
  Result.VmListRevision = this->Own.VmListRevision;
  const bool SameRegion = Each.Status.Region == this->Self.Region;
  const std::size_t Count =
      std::min(this->Own.Groups.size(), SameRegion ? RegionLoads : RemoteLoads);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Result.Groups.push_back(this->Own.Groups[this->LoadCursor++ % this->Own.Groups.size()]);
  }
  return Result;
}

const char *toString(PeerState State) {
  switch (State) {
  case PeerState::Alive:
    return "alive";
  case PeerState::Suspect:
    return "suspect";
  case PeerState::Departing:
    return "departing";
  case PeerState::Gone:
    return "gone";
  }
  return "unknown";
}

} // namespace anvilsaddle
