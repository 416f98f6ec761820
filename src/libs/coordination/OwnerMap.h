#pragma once

#include "coordination/GroupMap.h"
#include "coordination/Messages.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace anvilsaddle {

class SettingsSnapshot;
struct VmList;

/// Entries that may grant leases on a target, and the limits of its service.
struct TargetLessors {
  /// Highest rank first; the first one is the lessor. Entries of the target's failure domain
  /// precede the others of its region, so that the entry after the first is always the one that
  /// would be the lessor without it.
  std::vector<VmName> Ranked;
  std::uint32_t Slots = 0;
  Duration MaxDeadline{0};

  auto operator<=>(const TargetLessors &) const = default;
};

using LessorMap = std::map<TargetName, TargetLessors>;

/// Candidates by descending rendezvous score for the item; equal scores are ordered by name.
std::vector<VmName> rankByRendezvous(std::string_view Item, std::vector<VmName> Candidates);

/// Ranked lessors of every listed target of the region. Counts listed entries, live or departing,
/// so that all entries with the same VM list agree. Pure function.
LessorMap computeLessors(const SettingsSnapshot &Settings, const VmList &Vms,
                         const RegionName &Region);

/// Owner of a group among live entries of its region; none if there is no live entry.
std::optional<VmName> chooseOwner(const GroupId &Group, const std::vector<VmName> &LiveEntries);

/// Targets of the groups of a region that `Self` owns, with the lessor of each.
std::map<TargetName, VmName> ownedTargets(const VmName &Self, const RegionName &Region,
                                          const GroupMap &Groups, const LessorMap &Lessors,
                                          const std::vector<VmName> &LiveEntries);

} // namespace anvilsaddle
