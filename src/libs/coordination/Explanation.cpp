#include "coordination/Explanation.h"

#include "coordination/EntryFleet.h"
#include "coordination/EntryIdentity.h"
#include "state/SettingsSnapshot.h"

#include <algorithm>
#include <utility>

namespace anvilsaddle {

Explanation explainRoute(const RoutedRequest &Routed, const SettingsSnapshot &Settings,
                         const GroupMap &Groups, const EntryFleet &Fleet, const EntryIdentity &Self,
                         TimePoint Now) {
  Explanation Result;
  Result.Decision = "no owner of service " + Routed.Destination.Name.str() + " is known";
  bool Decided = false;
  for (const RegionName &Region : Settings.platform().Regions) {
    const bool Allowed = std::ranges::find(Routed.Regions, Region) != Routed.Regions.end();
    for (const auto &[Group, Members] : Groups) {
      if (Group.Service != Routed.Destination.Name || Group.Region != Region) {
        continue;
      }
      const auto Owner = Fleet.ownerOf(Group, Now);
      ExplainStep Step{toString(Group), "ruled out", ""};
      if (!Allowed) {
        Step.Reason = "the region is not a home region of the customer";
      } else if (!Owner) {
        Step.Reason = "no live entry can own the group";
      } else if (Region != Self.Region) {
        Step.Reason = "only for overflow; owner " + Owner->str();
      } else {
        Step.Result = "chosen";
        Step.Reason =
            "owner " + Owner->str() + ", " + std::to_string(Members.size()) + " usable targets";
        Result.Decision = *Owner == Self.Vm ? "queued here for " + toString(Group)
                                            : "forwarded to " + Owner->str();
        Decided = true;
      }
      Result.Steps.push_back(std::move(Step));
    }
  }
  if (!Decided && Result.Steps.empty()) {
    Result.Decision = "refused with 503: no target of the service is listed";
  }
  return Result;
}

} // namespace anvilsaddle
