#include "coordination/OwnerMap.h"

#include "coordination/RendezvousHash.h"
#include "state/SettingsSnapshot.h"
#include "state/VmList.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

std::vector<VmName> rankByRendezvous(std::string_view Item, std::vector<VmName> Candidates) {
  std::vector<std::pair<std::uint64_t, VmName>> Scored;
  Scored.reserve(Candidates.size());
  for (VmName &Candidate : Candidates) {
    const std::uint64_t Score = rendezvousScore(Item, Candidate.str());
    Scored.emplace_back(Score, std::move(Candidate));
  }
  std::sort(Scored.begin(), Scored.end(), [](const auto &Left, const auto &Right) {
    return Left.first != Right.first ? Left.first > Right.first : Left.second < Right.second;
  });
  std::vector<VmName> Result;
  Result.reserve(Scored.size());
  for (auto &[Score, Name] : Scored) {
    Result.push_back(std::move(Name));
  }
  return Result;
}

LessorMap computeLessors(const SettingsSnapshot &Settings, const VmList &Vms,
                         const RegionName &Region) {
  const auto InRegion = [&](const Vm &Machine) {
    const FailureDomain *Domain = Settings.findDomain(Machine.Domain);
    return Domain && Domain->Region == Region;
  };
  std::vector<VmName> Entries;
  std::map<VmName, FailureDomainName> DomainOf;
  for (const Vm &Machine : Vms.Vms) {
    if (Machine.Role == VmRole::Entry && InRegion(Machine)) {
      Entries.push_back(Machine.Name);
      DomainOf.emplace(Machine.Name, Machine.Domain);
    }
  }
  LessorMap Result;
  for (const Vm &Machine : Vms.Vms) {
    const Service *Served = Settings.findService(Machine.Service);
    if (Machine.Role != VmRole::Target || !Served || !InRegion(Machine)) {
      continue;
    }
    const TargetName Target = targetName(Machine);
    std::vector<VmName> Ranked = rankByRendezvous(Target.str(), Entries);
    std::stable_partition(Ranked.begin(), Ranked.end(), [&](const VmName &Entry) {
      return DomainOf.at(Entry) == Machine.Domain;
    });
    Result.emplace(Target, TargetLessors{std::move(Ranked), Served->Slots, Served->MaxDeadline});
  }
  return Result;
}

std::optional<VmName> chooseOwner(const GroupId &Group, const std::vector<VmName> &LiveEntries) {
  const std::string Item = toString(Group);
  const VmName *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const VmName &Entry : LiveEntries) {
    const std::uint64_t Score = rendezvousScore(Item, Entry.str());
    if (!Best || Score > BestScore || (Score == BestScore && Entry < *Best)) {
      Best = &Entry;
      BestScore = Score;
    }
  }
  return Best ? std::optional<VmName>(*Best) : std::nullopt;
}

std::map<TargetName, VmName> ownedTargets(const VmName &Self, const RegionName &Region,
                                          const GroupMap &Groups, const LessorMap &Lessors,
                                          const std::vector<VmName> &LiveEntries) {
  std::map<TargetName, VmName> Result;
  for (const auto &[Group, Targets] : Groups) {
    if (Group.Region != Region || chooseOwner(Group, LiveEntries) != Self) {
      continue;
    }
    for (const GroupTarget &Each : Targets) {
      const auto Found = Lessors.find(Each.Target);
      if (Found != Lessors.end() && !Found->second.Ranked.empty()) {
        Result.emplace(Each.Target, Found->second.Ranked.front());
      }
    }
  }
  return Result;
}

} // namespace anvilsaddle
