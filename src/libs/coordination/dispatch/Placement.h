#pragma once

#include "coordination/dispatch/LoadReport.h"
#include "coordination/dispatch/ProcessingTimeEstimator.h"
#include "state/Time.h"
#include "state/Topology.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace anvilsaddle {

/// A target with a fresh load report that may get a request. Value type.
struct PlacementCandidate {
  /// Index in the caller's own list.
  std::size_t Index = 0;
  Distance Proximity = Distance::SameDomain;
  LoadReport Load;
  /// Requests that this entry sent after the report.
  std::uint32_t SentSinceReport = 0;
  /// Failure score of the target, see TargetTable.
  double FailureScore = 0;
  /// Fraction of the recent requests that the target rejected although it had room.
  double RejectRate = 0;

  auto operator<=>(const PlacementCandidate &) const = default;
};

/// The chosen candidate and its expected cost.
struct PlacementChoice {
  std::size_t Index = 0;
  /// Expected time until the response, with the price of the distance expressed as time.
  Duration Cost{0};
  /// Requests that run or wait at the target before this one.
  std::uint32_t Outstanding = 0;
  /// Requests that would run or wait at the target before this one, beyond its usable slots.
  std::uint32_t QueuedAhead = 0;
  /// Usable slots of the target that are free after this request.
  std::uint32_t UsableSlotsLeft = 0;
  /// The target may get the request now, even if no other has more free capacity.
  bool HasCapacity = false;
  /// Occupancy of the target with this request; nothing if the request would wait for a slot.
  std::optional<SlotOccupancy> Occupancy;
  /// Expected time until the response, without the price of the distance.
  Duration ExpectedTime{0};
  /// The same if the reported slowdown lasts until the response.
  Duration TimeIfSlowdownLasts{0};

  auto operator<=>(const PlacementChoice &) const = default;
};

/// Chooses the candidate with the shortest expected response time. Pure functions; thread-safe.
/// They are valid for loads up to saturation; beyond that, QueuedAhead tells the caller to queue
/// the request.
namespace placement {

/// Number of slots of a target to use: all, or fewer if a target becomes so slow at a higher
/// occupancy that it completes more requests with slots idle. Precondition: the count is positive.
std::uint32_t usableSlots(std::uint32_t Slots, const SaturationFactors &Factors);

/// Evaluates the expected cost of the request at one candidate.
PlacementChoice evaluate(const PlacementCandidate &Candidate,
                         const ProcessingTimeEstimator::Estimate &Estimate);

/// Returns nothing if there are no candidates. `RandomValue` in [0, 1) breaks ties.
std::optional<PlacementChoice> chooseBest(const std::vector<PlacementCandidate> &Candidates,
                                          const ProcessingTimeEstimator::Estimate &Estimate,
                                          double RandomValue);

/// Round trip to another region, with the price of the response's bytes expressed as time.
Duration costOfOtherRegion(double ResponseBytes);

/// True if no other target could be much better, so that probing more targets is not worthwhile.
bool isGoodEnough(const PlacementChoice &Choice, const ProcessingTimeEstimator::Estimate &Estimate);

} // namespace placement

} // namespace anvilsaddle
