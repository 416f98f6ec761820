#pragma once

#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// Registration of a target. Value type.
struct Target {
  TargetName Name;
  ServiceName Service;
  Endpoint Address;
  FailureDomainName Domain;
  /// Number of requests that it processes concurrently.
  std::uint32_t Slots = 1;
  /// The target has announced its shutdown and must not receive new requests.
  bool Draining = false;
  /// Time after the registration during which the target is cold and accepts only a limited rate of
  /// requests.
  Duration RemainingColdTime{0};
  /// Start time of the process in milliseconds since 1970. It reveals a restart under the same
  /// name.
  std::int64_t StartedUnixMilliseconds = 0;

  auto operator<=>(const Target &) const = default;
};

} // namespace anvilsaddle
