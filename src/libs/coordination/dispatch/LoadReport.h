#pragma once

#include "coordination/dispatch/TargetConditions.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace anvilsaddle {

/// Load that a target reports. Value type.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;
  /// Processing time on the target's VM now, relative to the usual time.
  double Slowdown = 1;

  auto operator<=>(const LoadReport &) const = default;
};

/// Response of a target to a probe. Value type.
struct ProbeReport {
  /// False if the targets of the service do not report their load.
  bool HasLoad = false;
  LoadReport Load;
  /// The target reports itself healthy and is not about to shut down.
  bool Healthy = true;
  /// Time for which the target remains cold; zero if it is warm.
  Duration ColdFor{0};
  TargetConditions Conditions{};
  /// Time for which the target asks this entry to send nothing more; only with a rejection.
  std::optional<Duration> RetryAfter{};

  auto operator<=>(const ProbeReport &) const = default;
};

enum class ProbeFailure {
  /// No connection, a connection reset, a timeout or an invalid response.
  Unreachable,
  /// Another target has the address now.
  WrongTarget,
};

} // namespace anvilsaddle
