#include "LeaseWorld.h"

#include "coordination/GroupMap.h"
#include "coordination/OwnerMap.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(50);
constexpr Duration MaxDeadline = std::chrono::seconds(2);
constexpr std::uint32_t Slots = 3;
constexpr std::size_t TargetCount = 5;

const RegionName Region("r");

Vm makeVm(const std::string &Name, std::size_t Index, VmRole Role) {
  Vm Result;
  Result.Name = VmName(Name + std::to_string(Index));
  // Only every third entry is in the domain d1, so that it sometimes has no entry.
  const std::size_t Domain = Role == VmRole::Entry ? (Index % 3 == 2) : Index % 2;
  Result.Domain = FailureDomainName("d" + std::to_string(Domain));
  Result.Role = Role;
  if (Role == VmRole::Target) {
    Result.Service = ServiceName("s" + std::to_string(Index % 2));
  }
  return Result;
}

} // namespace

SettingsSnapshot leaseSettings() {
  PlatformSettings Platform;
  Platform.Regions = {Region};
  Platform.FailureDomains = {{FailureDomainName("d0"), Region, false},
                             {FailureDomainName("d1"), Region, false}};
  for (const char *Name : {"s0", "s1"}) {
    Service Each;
    Each.Name = ServiceName(Name);
    Each.Slots = Slots;
    Each.MaxDeadline = MaxDeadline;
    Platform.Services.push_back(Each);
  }
  return SettingsSnapshot(Platform, {});
}

LeaseWorld::LeaseWorld(std::size_t EntryCount, std::uint64_t Seed)
    : Settings(leaseSettings()), Random(Seed), Listed(EntryCount, true),
      TargetListed(TargetCount, true), Processes(EntryCount) {
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    this->Processes[Index].Name = makeVm("e", Index, VmRole::Entry).Name;
    this->Listed[Index] = Index < 2 || this->chance(70);
  }
  this->publish();
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    this->Processes[Index].Rate = 0.98 + 0.01 * static_cast<double>(this->Random() % 5);
    this->restart(Index);
  }
}

void LeaseWorld::publish() {
  VmList List;
  List.Revision = this->Lists.size() + 1;
  for (std::size_t Index = 0; Index < this->Listed.size(); ++Index) {
    if (this->Listed[Index]) {
      Vm Entry = makeVm("e", Index, VmRole::Entry);
      Entry.Name = this->Processes[Index].Name;
      List.Vms.push_back(std::move(Entry));
    }
  }
  for (std::size_t Index = 0; Index < TargetCount; ++Index) {
    if (this->TargetListed[Index]) {
      List.Vms.push_back(makeVm("t", Index, VmRole::Target));
    }
  }
  this->Lists.push_back(std::move(List));
}

void LeaseWorld::pause(std::size_t Entry, Duration Length) {
  this->Processes[Entry].PausedUntil = this->Now + Length;
}

void LeaseWorld::kill(std::size_t Entry) {
  Process &Each = this->Processes[Entry];
  Each.Members.reset();
  Each.Grants.reset();
  Each.Leases.reset();
}

void LeaseWorld::restart(std::size_t Entry) {
  Process &Each = this->Processes[Entry];
  if (!this->Listed[Entry]) {
    return;
  }
  Each.Run = {this->Now.count(), this->Random()};
  Each.PausedUntil = Duration{0};
  Each.Departing = false;
  const EntryIdentity Self{Each.Name, Region, FailureDomainName("d0"), Each.Run};
  const TimePoint Local = this->localTime(Each);
  Each.Members = std::make_unique<Membership>(Self, Local);
  Each.Grants = std::make_unique<Lessor>(Self, Local);
  Each.Leases = std::make_unique<LeaseHolder>(Self, Local);
  Each.ViewedList.reset();
}

void LeaseWorld::depart(std::size_t Entry) {
  this->Processes[Entry].Departing = true;
  this->Processes[Entry].ViewedList.reset();
}

void LeaseWorld::toggleListed(std::size_t Entry) {
  const auto Count = std::count(this->Listed.begin(), this->Listed.end(), true);
  if (this->Listed[Entry] && Count == 1) {
    return;
  }
  // The platform removes a VM from the list only once it is gone.
  this->kill(Entry);
  this->Listed[Entry] = !this->Listed[Entry];
  if (this->Listed[Entry]) {
    // A VM that replaces a removed one has a new name. Its first list may be from before its time.
    Process &Each = this->Processes[Entry];
    Each.Name = VmName(Each.Name.str() + "'");
  }
  this->publish();
  if (this->chance(50)) {
    this->Processes[Entry].List = this->Lists.size() - 1;
  }
  this->restart(Entry);
}

void LeaseWorld::toggleTarget(std::size_t Target) {
  this->TargetListed[Target] = !this->TargetListed[Target];
  this->publish();
}

void LeaseWorld::advanceList(std::size_t Entry) {
  std::size_t &List = this->Processes[Entry].List;
  List = std::min(List + 1, this->Lists.size() - 1);
}

void LeaseWorld::stopFaults() {
  this->Faults = false;
  this->Sides = 0;
  this->Queue.clear();
  for (std::size_t Index = 0; Index < this->Processes.size(); ++Index) {
    Process &Each = this->Processes[Index];
    Each.PausedUntil = Duration{0};
    Each.List = this->Lists.size() - 1;
    if (!Each.Members || Each.Departing) {
      this->restart(Index);
    }
  }
}

std::string LeaseWorld::run(Duration Length) {
  for (const Duration End = this->Now + Length; this->Now < End; this->Now += StepLength) {
    this->step();
    if (std::string Exceeded = this->exceededLimit(); !Exceeded.empty()) {
      return Exceeded;
    }
  }
  return {};
}

TimePoint LeaseWorld::localTime(const Process &Each) const {
  return TimePoint(
      Duration(static_cast<std::int64_t>(static_cast<double>(this->Now.count()) * Each.Rate)));
}

void LeaseWorld::step() {
  for (Process &Each : this->Processes) {
    std::erase_if(Each.Running, [&](const Work &Item) { return Item.End <= this->Now; });
  }
  std::vector<Delivery> Due;
  const auto End = this->Queue.upper_bound(this->Now);
  for (auto Item = this->Queue.begin(); Item != End; Item = this->Queue.erase(Item)) {
    Due.push_back(std::move(Item->second));
  }
  for (const Delivery &Item : Due) {
    Process &Receiver = this->Processes[Item.Receiver];
    if (Receiver.Members && Receiver.PausedUntil > this->Now) {
      this->Queue.emplace(Receiver.PausedUntil, Item);
    } else if (Receiver.Members) {
      this->deliver(Receiver, Item.Message);
    }
  }
  for (std::size_t Index = 0; Index < this->Processes.size(); ++Index) {
    Process &Each = this->Processes[Index];
    if (!Each.Members || Each.PausedUntil > this->Now) {
      continue;
    }
    const TimePoint Local = this->localTime(Each);
    this->send(Index, Each.Members->onTick(Local));
    this->send(Index, Each.Grants->onTick(Local));
    this->updateOwned(Each);
    InFlightCounts Counts;
    for (const Work &Item : Each.Running) {
      Counts[Item.Target] += Item.Starter == Each.Run ? 1 : 0;
    }
    this->send(Index, Each.Leases->onTick(Local, Counts));
    this->startWork(Each);
  }
}

void LeaseWorld::deliver(Process &Each, const PeerMessage &Message) {
  const TimePoint Local = this->localTime(Each);
  Each.Members->onMessage(Message, Local);
  Each.Leases->onMessage(Message, Local);
  const auto Index = static_cast<std::size_t>(&Each - this->Processes.data());
  this->send(Index, Each.Grants->onMessage(Message, Local));
}

void LeaseWorld::send(std::size_t Sender, std::vector<OutgoingMessage> Messages) {
  for (OutgoingMessage &Out : Messages) {
    const auto Found = std::find_if(this->Processes.begin(), this->Processes.end(),
                                    [&](const Process &Each) { return Each.Name == Out.Receiver; });
    if (Found == this->Processes.end()) {
      continue;
    }
    const auto Receiver = static_cast<std::size_t>(Found - this->Processes.begin());
    if (Receiver == Sender) {
      this->deliver(*Found, Out.Message);
      continue;
    }
    const bool Separated = ((this->Sides >> Sender) & 1U) != ((this->Sides >> Receiver) & 1U);
    if (Separated || (this->Faults && this->chance(10))) {
      continue;
    }
    const int Copies = this->Faults && this->chance(10) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      // One message in five is late by up to 6 s, longer than a lease and a maximum deadline.
      const auto Late = std::chrono::milliseconds(this->Random() % 6000);
      const Duration Delay = this->Faults && this->chance(20)
                                 ? Duration(Late)
                                 : Duration(std::chrono::milliseconds(1));
      this->Queue.emplace(this->Now + Delay, Delivery{Receiver, Out.Message});
    }
  }
}

void LeaseWorld::updateOwned(Process &Each) {
  const VmList &List = this->Lists[Each.List];
  const TimePoint Local = this->localTime(Each);
  const LessorMap Lessors = computeLessors(this->Settings, List, Region);
  if (Each.ViewedList != Each.List) {
    Each.ViewedList = Each.List;
    Each.Members->setView(this->Settings, List, Local);
    const EntryState State = Each.Departing ? EntryState::Departing : EntryState::Serving;
    Each.Members->setOwnStatus({State, 1, List.Revision, {}});
    Each.Grants->setView(Lessors, List.Revision, Local);
  }
  Each.Leases->setWanted(ownedTargets(Each.Name, Region, computeGroups(this->Settings, List),
                                      Lessors, Each.Members->ownerCandidates(Region)),
                         Local);
}

void LeaseWorld::startWork(Process &Each) {
  for (const LeasedTarget &Leased : Each.Leases->usable(this->localTime(Each))) {
    const auto Own = std::count_if(Each.Running.begin(), Each.Running.end(), [&](const Work &Item) {
      return Item.Target == Leased.Target && Item.Starter == Each.Run;
    });
    if (static_cast<std::uint32_t>(Own) + Leased.Reserved < Slots && this->chance(50)) {
      // Half of the requests run until their deadline, counted by the clock of the entry.
      const Duration Full(static_cast<std::int64_t>(MaxDeadline.count() / Each.Rate));
      const Duration Length = this->chance(50) ? Full : Full / 8;
      Each.Running.push_back({Leased.Target, Each.Run, this->Now + Length});
    }
  }
}

std::string LeaseWorld::exceededLimit() const {
  std::map<TargetName, std::uint32_t> Used;
  std::string Detail;
  for (const Process &Each : this->Processes) {
    std::map<TargetName, std::uint32_t> Own;
    for (const Work &Item : Each.Running) {
      // Work of an earlier run of the process is not known to the current one.
      const bool Current = Item.Starter == Each.Run && Each.Leases;
      ++(Current ? Own : Used)[Item.Target];
      Detail += " " + Each.Name.str() + (Current ? " runs " : " ran ") + Item.Target.str();
    }
    if (Each.Leases) {
      for (const LeasedTarget &Leased : Each.Leases->usable(this->localTime(Each))) {
        Own[Leased.Target] = std::max(Own[Leased.Target], Slots - Leased.Reserved);
        Detail += " " + Each.Name.str() + " holds " + Leased.Target.str();
      }
    }
    for (const auto &[Target, Count] : Own) {
      Used[Target] += Count;
    }
  }
  for (const auto &[Target, Count] : Used) {
    if (Count > Slots) {
      return Target.str() + " has " + std::to_string(Count) + " at " +
             std::to_string(this->Now.count()) + ":" + Detail;
    }
  }
  return {};
}

std::string LeaseWorld::unownedGroup() const {
  for (const auto &[Group, Targets] : computeGroups(this->Settings, this->Lists.back())) {
    std::set<VmName> Holders;
    std::size_t Held = 0;
    for (const Process &Each : this->Processes) {
      if (!Each.Leases) {
        continue;
      }
      for (const LeasedTarget &Leased : Each.Leases->usable(this->localTime(Each))) {
        const bool Member =
            std::any_of(Targets.begin(), Targets.end(),
                        [&](const GroupTarget &Item) { return Item.Target == Leased.Target; });
        if (Member && Leased.Reserved == 0) {
          Holders.insert(Each.Name);
          ++Held;
        }
      }
    }
    if (Held != Targets.size() || Holders.size() != 1) {
      return toString(Group) + ": " + std::to_string(Held) + " of " +
             std::to_string(Targets.size()) + " held by " + std::to_string(Holders.size());
    }
  }
  return {};
}

} // namespace anvilsaddle
