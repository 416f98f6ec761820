#pragma once

#include "state/Time.h"

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// What a target says of its load. Value type.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;
  /// Time that work takes on the target's machine now, relative to the usual time.
  double Slowdown = 1;

  auto operator<=>(const LoadReport &) const = default;
};

/// Answer of a target to a probe. Value type.
struct ProbeReport {
  /// Absent if the service's targets don't tell their load.
  bool HasLoad = false;
  LoadReport Load;
  /// The target considers itself healthy and is not about to end.
  bool Healthy = true;
  /// Time for which the target stays cold; zero if it is warm.
  Duration ColdFor{0};

  auto operator<=>(const ProbeReport &) const = default;
};

enum class ProbeFailure {
  /// No connection, a reset, a timeout or bytes that are no answer.
  Unreachable,
  /// Another target has the address now.
  WrongTarget,
};

} // namespace anvilsaddle
