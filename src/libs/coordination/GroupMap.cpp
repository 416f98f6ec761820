#include "coordination/GroupMap.h"

#include "coordination/RendezvousHash.h"
#include "state/SettingsSnapshot.h"
#include "state/VmList.h"

#include <string>
#include <utility>

namespace anvilsaddle {

namespace {

struct Member {
  const Vm *Machine = nullptr;
  const FailureDomain *Domain = nullptr;
};

/// Rendezvous hashing keeps most targets in their shard when the number of shards changes.
std::uint32_t shardOf(const TargetName &Target, std::uint32_t ShardCount) {
  std::uint32_t Best = 0;
  std::uint64_t BestScore = 0;
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
    const std::uint64_t Score = rendezvousScore(Target.str(), std::to_string(Shard));
    if (Shard == 0 || Score > BestScore) {
      Best = Shard;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace

GroupMap computeGroups(const SettingsSnapshot &Settings, const VmList &Vms) {
  std::map<std::pair<ServiceName, RegionName>, std::vector<Member>> Members;
  for (const Vm &Machine : Vms.Vms) {
    const FailureDomain *Domain = Settings.findDomain(Machine.Domain);
    if (Machine.Role == VmRole::Target && Domain && Settings.findService(Machine.Service)) {
      Members[{Machine.Service, Domain->Region}].push_back({&Machine, Domain});
    }
  }

  GroupMap Result;
  for (const auto &[Key, Group] : Members) {
    const Service *Served = Settings.findService(Key.first);
    const auto Count = static_cast<std::uint32_t>(Group.size());
    const std::uint32_t Shards = (Count + Served->TargetsPerShard - 1) / Served->TargetsPerShard;
    for (const Member &Each : Group) {
      const TargetName Target = targetName(*Each.Machine);
      auto &Targets = Result[{Key.first, Key.second, shardOf(Target, Shards)}];
      if (Each.Machine->State == VmState::Live && !Each.Domain->TakenOut) {
        Targets.push_back({Target, Endpoint{Each.Machine->Address, Each.Machine->Port},
                           Each.Machine->Domain, Served->Slots});
      }
    }
  }
  return Result;
}

std::string toString(const GroupId &Group) {
  return Group.Service.str() + "@" + Group.Region.str() + "/" + std::to_string(Group.Shard);
}

} // namespace anvilsaddle
