#pragma once

#include "coordination/Effect.h"
#include "coordination/Messages.h"
#include "state/Identifiers.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace anvilsaddle {

class SettingsSnapshot;
struct VmList;

/// A target that may get new work: its VM is live and its failure domain is not taken out.
struct GroupTarget {
  TargetName Target;
  Endpoint Destination;
  FailureDomainName Domain;
  std::uint32_t Slots = 0;

  auto operator<=>(const GroupTarget &) const = default;
};

using GroupMap = std::map<GroupId, std::vector<GroupTarget>>;

/// Groups of all regions and their usable targets. Pure function: entries with equal settings and
/// VM lists compute equal groups. A group without usable targets is present as long as it has
/// targets. VMs of unknown services or failure domains are left out.
GroupMap computeGroups(const SettingsSnapshot &Settings, const VmList &Vms);

/// `<service>@<region>/<shard>`.
std::string toString(const GroupId &Group);

} // namespace anvilsaddle
