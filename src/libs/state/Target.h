#pragma once

#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// A target as it registered itself. Value type.
struct Target {
  TargetName Name;
  ServiceName Service;
  Endpoint Address;
  FailureDomainName Domain;
  /// Requests that it processes at once.
  std::uint32_t Slots = 1;
  /// It announced that it will end; it must get no new work.
  bool Draining = false;
  /// Time for which it stays cold from the registration on.
  Duration ColdFor{0};
  /// Start of the process, milliseconds since 1970; tells a restart under the same name.
  std::int64_t StartedUnixMilliseconds = 0;

  auto operator<=>(const Target &) const = default;
};

} // namespace anvilsaddle
