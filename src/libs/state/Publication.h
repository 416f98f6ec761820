#pragma once

#include "state/Configuration.h"
#include "state/Target.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// A target was registered or changed what it says of itself.
struct TargetRegistered {
  Target Value;

  auto operator<=>(const TargetRegistered &) const = default;
};

/// A target's registration was removed.
struct TargetRemoved {
  TargetName Name;

  auto operator<=>(const TargetRemoved &) const = default;
};

/// Operators take a failure domain out of service, or give it back.
struct DomainEvacuation {
  FailureDomainName Domain;
  bool Active = false;

  auto operator<=>(const DomainEvacuation &) const = default;
};

/// One change that operators or targets published. It replaces what was known of the same subject.
using Publication = std::variant<Configuration, TargetRegistered, TargetRemoved, DomainEvacuation>;

/// Published facts in the order of their publication. Value type.
struct PublicationBatch {
  /// True if the batch holds all that is published, so that what it lacks was removed.
  bool Complete = false;
  std::vector<Publication> Changes;

  auto operator<=>(const PublicationBatch &) const = default;
};

} // namespace anvilsaddle
