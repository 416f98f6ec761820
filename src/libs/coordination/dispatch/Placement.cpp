#include "coordination/dispatch/Placement.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle::placement {

namespace {

using namespace std::chrono_literals;

/// Fraction of a reported slowdown that persists, on average, over the time of a request, because
/// the reported value changes many times a second.
constexpr double PersistentSlowdownFraction = 0.6;
/// Relative increase of the processing time between an idle target and one with only its last slot
/// free.
constexpr double OccupancySlowdown = 0.1;
/// Fraction of a request's processing time for which its target stays saturated on average, because
/// other requests end in the meantime. The excess of an estimated saturation factor over 1 is
/// therefore only this fraction of the excess of a target that is saturated all the time.
constexpr double SaturatedTimeFraction = 0.7;
/// Smaller factors are within the normal variation of response times.
constexpr double MinSaturationFactor = 1.25;
/// Rounding errors don't count as a higher throughput.
constexpr double ThroughputTolerance = 1e-9;
/// Number of requests that may wait at a target beyond its slots. A few fill the time between a
/// freed slot and the next search; more would no longer be ordered by priority.
constexpr std::uint32_t MaxQueuedAhead = 2;
/// Relative increase of the expected response time for each recent failure.
constexpr double FailurePenalty = 1.5;
/// The same for a target that rejects all requests. A target that has rejected the only request
/// sent to it then costs more than one with as many requests waiting as may be sent there.
constexpr double RejectPenalty = 3;
/// Round-trip times of a request to another failure domain and to another region.
constexpr Duration RegionRoundTrip = 2ms;
constexpr Duration OtherRegionRoundTrip = 60ms;
/// Price of bytes that leave the failure domain or the region, expressed as time: traffic between
/// regions is billed by volume, and a large response from another region costs more than it is
/// worth.
constexpr double RegionMicrosecondsPerByte = 1.0;
constexpr double OtherRegionMicrosecondsPerByte = 10.0;
/// Costs that differ by no more than this fraction are a tie.
constexpr double TieTolerance = 0.03;
/// A cost up to this many times the usual processing time is good enough.
constexpr double GoodCostFactor = 1.3;

/// Processing time at a target that keeps the occupancy all the time, relative to a low occupancy.
double saturatedRounds(double Factor) {
  return Factor < MinSaturationFactor ? 1 : 1 + (Factor - 1) / SaturatedTimeFraction;
}

Duration roundTrip(Distance Proximity) {
  switch (Proximity) {
  case Distance::SameDomain:
    return 0us;
  case Distance::SameRegion:
    return RegionRoundTrip;
  case Distance::OtherRegion:
    return OtherRegionRoundTrip;
  }
  return OtherRegionRoundTrip;
}

Duration distanceCost(Distance Proximity, double Bytes) {
  switch (Proximity) {
  case Distance::SameDomain:
    return 0us;
  case Distance::SameRegion:
    return roundTrip(Proximity) + Duration(std::llround(Bytes * RegionMicrosecondsPerByte));
  case Distance::OtherRegion:
    return roundTrip(Proximity) + Duration(std::llround(Bytes * OtherRegionMicrosecondsPerByte));
  }
  return OtherRegionRoundTrip;
}

} // namespace

std::uint32_t usableSlots(std::uint32_t Slots, const SaturationFactors &Factors) {
  // Only the last slot of each occupancy can be the best one.
  const std::uint32_t LowSlots = std::max(1U, lowOccupancySlots(Slots));
  std::uint32_t Best = LowSlots;
  double BestThroughput = LowSlots;
  for (const std::uint32_t Occupied : {std::max(LowSlots, Slots - 1), Slots}) {
    const double Throughput =
        Occupied / saturatedRounds(Factors.at(slotOccupancy(Occupied, Slots)));
    if (Throughput > BestThroughput * (1 + ThroughputTolerance)) {
      Best = Occupied;
      BestThroughput = Throughput;
    }
  }
  return Best;
}

PlacementChoice evaluate(const PlacementCandidate &Candidate,
                         const ProcessingTimeEstimator::Estimate &Estimate) {
  const LoadReport &Load = Candidate.Load;
  const std::uint32_t Slots = std::max<std::uint32_t>(1, Load.Slots);
  const std::uint32_t Outstanding = Load.Running + Load.Waiting + Candidate.SentSinceReport;
  const std::uint32_t Usable = usableSlots(Slots, Estimate.Saturation);
  const std::uint32_t QueuedAhead = Outstanding + 1 > Usable ? Outstanding + 1 - Usable : 0;
  const std::uint32_t UsableSlotsLeft = Usable - std::min(Usable, Outstanding + 1);
  const bool HasCapacity = QueuedAhead == 0 || (Usable == Slots && QueuedAhead <= MaxQueuedAhead);
  const double ReportedSlowdown = std::max(0.5, Load.Slowdown);
  const double Slowdown = 1 + (ReportedSlowdown - 1) * PersistentSlowdownFraction;
  const std::uint32_t Waiting = Outstanding + 1 > Slots ? Outstanding + 1 - Slots : 0;
  const SlotOccupancy OccupancyAtStart = slotOccupancy(std::min(Outstanding + 1, Slots), Slots);
  const double Occupancy = std::min(1.0, static_cast<double>(Outstanding) / Slots);
  const double ProcessingRounds = Estimate.Saturation.at(OccupancyAtStart);
  const double TotalRounds = ProcessingRounds + OccupancySlowdown * Occupancy +
                             static_cast<double>(Waiting) / Slots * ProcessingRounds;
  const double FailureFactor =
      (1 + FailurePenalty * Candidate.FailureScore) * (1 + RejectPenalty * Candidate.RejectRate);
  const auto ResponseTime = std::chrono::duration_cast<Duration>(
      Estimate.ProcessingTime * (Slowdown * TotalRounds * FailureFactor));
  const auto TimeAt = [&](double Factor) {
    return scaled(Estimate.ProcessingTime, Factor * TotalRounds) + roundTrip(Candidate.Proximity);
  };
  return {Candidate.Index,
          ResponseTime + distanceCost(Candidate.Proximity, Estimate.ResponseBytes),
          Outstanding,
          QueuedAhead,
          UsableSlotsLeft,
          HasCapacity,
          Waiting == 0 ? std::optional(OccupancyAtStart) : std::nullopt,
          TimeAt(1 + (ReportedSlowdown - 1) * Estimate.SlowdownPersistence),
          TimeAt(ReportedSlowdown)};
}

std::optional<PlacementChoice> chooseBest(const std::vector<PlacementCandidate> &Candidates,
                                          const ProcessingTimeEstimator::Estimate &Estimate,
                                          double RandomValue) {
  std::vector<PlacementChoice> Evaluated;
  Evaluated.reserve(Candidates.size());
  for (const PlacementCandidate &Each : Candidates) {
    Evaluated.push_back(evaluate(Each, Estimate));
  }
  if (Evaluated.empty()) {
    return std::nullopt;
  }
  const auto Best = std::min_element(Evaluated.begin(), Evaluated.end(),
                                     [](const PlacementChoice &Left, const PlacementChoice &Right) {
                                       return Left.Cost < Right.Cost;
                                     });
  const auto Limit = std::chrono::duration_cast<Duration>(Best->Cost * (1 + TieTolerance));
  std::vector<PlacementChoice> Ties;
  for (const PlacementChoice &Each : Evaluated) {
    if (Each.Cost <= Limit) {
      Ties.push_back(Each);
    }
  }
  return Ties[static_cast<std::size_t>(RandomValue * static_cast<double>(Ties.size()))];
}

Duration costOfOtherRegion(double ResponseBytes) {
  return distanceCost(Distance::OtherRegion, ResponseBytes);
}

bool isGoodEnough(const PlacementChoice &Choice,
                  const ProcessingTimeEstimator::Estimate &Estimate) {
  return Choice.QueuedAhead == 0 &&
         Choice.Cost <= Estimate.ProcessingTime * GoodCostFactor + RegionRoundTrip;
}

} // namespace anvilsaddle::placement
