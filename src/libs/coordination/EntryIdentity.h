#pragma once

#include "coordination/Messages.h"
#include "state/Identifiers.h"

#include <compare>

namespace anvilsaddle {

/// Who this entry process is.
struct EntryIdentity {
  VmName Vm;
  RegionName Region;
  FailureDomainName Domain;
  Incarnation Run;

  auto operator<=>(const EntryIdentity &) const = default;
};

} // namespace anvilsaddle
