#pragma once

#include "coordination/GroupMap.h"
#include "coordination/RequestRouter.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <string>
#include <vector>

namespace anvilsaddle {

class EntryFleet;
class SettingsSnapshot;
struct EntryIdentity;

/// One candidate that `anvilsaddle explain` shows.
struct ExplainStep {
  std::string Candidate;
  std::string Result;
  std::string Reason;

  auto operator<=>(const ExplainStep &) const = default;
};

struct Explanation {
  std::string Decision;
  std::vector<ExplainStep> Steps;

  auto operator<=>(const Explanation &) const = default;
};

/// Explains where a request with these decided terms would go. Pure function of its arguments.
Explanation explainRoute(const RoutedRequest &Routed, const SettingsSnapshot &Settings,
                         const GroupMap &Groups, const EntryFleet &Fleet, const EntryIdentity &Self,
                         TimePoint Now);

} // namespace anvilsaddle
