#pragma once

#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <tuple>

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
  /// Number of this registration since the start of the process; 0 if unknown. It increases each
  /// time the target registers.
  std::int64_t Sequence = 0;

  /// True if the other registration of this name was not made after this one. False if the start
  /// time of either is unknown.
  bool isAtLeastAsNewAs(const Target &Other) const {
    if (this->StartedUnixMilliseconds == 0 || Other.StartedUnixMilliseconds == 0) {
      return false;
    }
    return std::tie(this->StartedUnixMilliseconds, this->Sequence) >=
           std::tie(Other.StartedUnixMilliseconds, Other.Sequence);
  }

  auto operator<=>(const Target &) const = default;
};

} // namespace anvilsaddle
