#pragma once

#include "loadtool/Scenario.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <random>

namespace anvilsaddle {

/// One request that is due.
struct ScheduledRequest {
  /// From the start of the run.
  Duration Due{0};
  /// Index in Scenario::Kinds.
  std::size_t Kind = 0;
  /// Counts from 1.
  std::uint32_t Number = 0;

  auto operator<=>(const ScheduledRequest &) const = default;
};

/// Draws due times with exponential gaps and kinds by weight, independent of any answer. Equal
/// scenarios give equal schedules. Not thread-safe.
class Schedule {
public:
  /// Precondition: the scenario has at least one kind.
  explicit Schedule(const Scenario &Plan);

  /// Draws the next request. Due times never decrease.
  ScheduledRequest next();

private:
  std::mt19937_64 Engine;
  std::exponential_distribution<double> Gap;
  std::discrete_distribution<std::size_t> Kind;
  /// Unrounded, so that rounding to microseconds doesn't change the rate.
  double DueMicroseconds = 0;
  std::uint32_t Drawn = 0;
};

} // namespace anvilsaddle
