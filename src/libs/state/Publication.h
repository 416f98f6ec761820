#pragma once

#include "state/Configuration.h"
#include "state/Target.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// A target was registered or changed what it says of itself.
struct TargetRegistered {
  Target Registration;

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
  /// True if the batch holds all that is published, so that what it lacks was removed. Otherwise it
  /// holds all changes after the revision Since.
  bool IsSnapshot = false;
  std::int64_t Since = 0;
  /// Revision of the source up to which the batch goes.
  std::int64_t Revision = 0;
  /// The source came back from an outage a short time ago; registrations that lapsed meanwhile may
  /// be back within this time.
  Duration RemovalDelay{0};
  std::vector<Publication> Changes;

  auto operator<=>(const PublicationBatch &) const = default;
};

} // namespace anvilsaddle
