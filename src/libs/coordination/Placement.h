#pragma once

#include "coordination/LoadReport.h"
#include "coordination/RouteEstimator.h"
#include "state/Time.h"
#include "state/Topology.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace anvilsaddle {

/// A target with a fresh report, as a place for a request. Value type.
struct PlacementCandidate {
  /// Position in the caller's own list.
  std::size_t Index = 0;
  Distance Place = Distance::SameDomain;
  LoadReport Load;
  /// Requests that this entry sent after the report.
  std::uint32_t SentSince = 0;
  /// Recent failures at the target.
  double Failures = 0;

  auto operator<=>(const PlacementCandidate &) const = default;
};

/// The best candidate and what it promises.
struct PlacementChoice {
  std::size_t Index = 0;
  /// Time to the answer, with the price of the distance as time.
  Duration Cost{0};
  /// Requests that run or wait at the target before this one.
  std::uint32_t Busy = 0;
  /// Requests that would run or wait at the target before this one, beyond its usable slots.
  std::uint32_t Ahead = 0;
  /// The target may take the request now, even if no other has more room.
  bool HasRoom = false;

  auto operator<=>(const PlacementChoice &) const = default;
};

/// Chooses the candidate with the shortest expected answer. Pure functions; thread-safe. They
/// answer loads up to saturation; beyond, Ahead tells the caller to wait.
namespace placement {

/// Slots of a target that may be taken: all, or all but one if a full target is so slow that it
/// does more work with one slot idle. Precondition: the count is positive.
std::uint32_t usableSlots(std::uint32_t Slots, double FullFactor);

/// Expected time to the answer at one candidate.
PlacementChoice rate(const PlacementCandidate &Candidate, const RouteEstimator::Expected &Request);

/// Nothing if there are no candidates. `Draw` in [0, 1) breaks ties.
std::optional<PlacementChoice> choose(const std::vector<PlacementCandidate> &Candidates,
                                      const RouteEstimator::Expected &Request, double Draw);

/// Round trip to another region, with the price of an answer's bytes as time.
Duration remoteCost(double ResponseBytes);

/// True if no other target could be much better, so that asking more of them isn't worth it.
bool isGood(const PlacementChoice &Choice, const RouteEstimator::Expected &Request);

} // namespace placement

} // namespace anvilsaddle
