#include "coordination/Placement.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle::placement {

namespace {

using namespace std::chrono_literals;

/// Part of a slowdown that lasts, on average, over the time of a request: the figure changes many
/// times a second.
constexpr double SlowdownLasting = 0.6;
/// Growth of the time of work between an idle target and one with its last slot free.
constexpr double OccupancyCost = 0.1;
/// Part of a request's time for which its target stays full on average, because others end
/// meanwhile: learned factors of full targets are that much smaller than those of a target that is
/// full all the time.
constexpr double FullTimePart = 0.7;
/// Smaller factors are within what answer times vary by.
constexpr double SmallestFullFactor = 1.25;
/// Requests that may wait at a target beyond its slots. A few bridge the time between a freed slot
/// and the next search; more would be beyond the reach of priorities.
constexpr std::uint32_t MaxAhead = 2;
/// Times the answer is expected to take longer for each recent failure.
constexpr double FailureCost = 1.5;
/// Round trips of a request to another failure domain and to another region.
constexpr Duration RegionRoundTrip = 2ms;
constexpr Duration RemoteRoundTrip = 60ms;
/// Price of bytes that leave the failure domain or the region, as time: links between regions are
/// paid by volume, and a large answer that crosses them costs more than it is worth.
constexpr double RegionMicrosecondsPerByte = 1.0;
constexpr double RemoteMicrosecondsPerByte = 10.0;
/// Costs within this part of each other are a tie.
constexpr double TiePart = 0.03;
/// A cost up to this many times the usual work is good.
constexpr double GoodFactor = 1.3;

Duration distanceCost(Distance Place, double Bytes) {
  switch (Place) {
  case Distance::SameDomain:
    return 0us;
  case Distance::SameRegion:
    return RegionRoundTrip + Duration(std::llround(Bytes * RegionMicrosecondsPerByte));
  case Distance::OtherRegion:
    return RemoteRoundTrip + Duration(std::llround(Bytes * RemoteMicrosecondsPerByte));
  }
  return RemoteRoundTrip;
}

} // namespace

std::uint32_t usableSlots(std::uint32_t Slots, double FullFactor) {
  if (Slots < 2) {
    return Slots;
  }
  // With one slot idle, a target does (Slots - 1) requests in the time that a full one takes for
  // Slots / factor.
  const double BreakEven = 1 + FullTimePart / (Slots - 1);
  return FullFactor >= std::max(BreakEven, SmallestFullFactor) ? Slots - 1 : Slots;
}

PlacementChoice rate(const PlacementCandidate &Candidate, const RouteEstimator::Expected &Request) {
  const LoadReport &Load = Candidate.Load;
  const std::uint32_t Slots = std::max<std::uint32_t>(1, Load.Slots);
  const std::uint32_t Busy = Load.Running + Load.Waiting + Candidate.SentSince;
  const std::uint32_t Usable = usableSlots(Slots, Request.FullFactor);
  const std::uint32_t Ahead = Busy + 1 > Usable ? Busy + 1 - Usable : 0;
  const bool HasRoom = Ahead == 0 || (Usable == Slots && Ahead <= MaxAhead);
  const double Slowdown = 1 + (std::max(0.5, Load.Slowdown) - 1) * SlowdownLasting;
  const std::uint32_t Waiting = Busy + 1 > Slots ? Busy + 1 - Slots : 0;
  const double Occupancy = std::min(1.0, static_cast<double>(Busy) / Slots);
  const double Work = Busy + 1 < Slots ? 1.0 : std::max(1.0, Request.FullFactor);
  const double Rounds =
      Work + OccupancyCost * Occupancy + static_cast<double>(Waiting) / Slots * Work;
  const double Failing = 1 + FailureCost * Candidate.Failures;
  const auto Answer =
      std::chrono::duration_cast<Duration>(Request.Work * (Slowdown * Rounds * Failing));
  return {Candidate.Index, Answer + distanceCost(Candidate.Place, Request.ResponseBytes), Busy,
          Ahead, HasRoom};
}

std::optional<PlacementChoice> choose(const std::vector<PlacementCandidate> &Candidates,
                                      const RouteEstimator::Expected &Request, double Draw) {
  std::vector<PlacementChoice> Rated;
  Rated.reserve(Candidates.size());
  for (const PlacementCandidate &Each : Candidates) {
    Rated.push_back(rate(Each, Request));
  }
  if (Rated.empty()) {
    return std::nullopt;
  }
  const auto Best = std::min_element(Rated.begin(), Rated.end(),
                                     [](const PlacementChoice &Left, const PlacementChoice &Right) {
                                       return Left.Cost < Right.Cost;
                                     });
  const auto Limit = std::chrono::duration_cast<Duration>(Best->Cost * (1 + TiePart));
  std::vector<PlacementChoice> Ties;
  for (const PlacementChoice &Each : Rated) {
    if (Each.Cost <= Limit) {
      Ties.push_back(Each);
    }
  }
  return Ties[static_cast<std::size_t>(Draw * static_cast<double>(Ties.size()))];
}

Duration remoteCost(double ResponseBytes) {
  return distanceCost(Distance::OtherRegion, ResponseBytes);
}

bool isGood(const PlacementChoice &Choice, const RouteEstimator::Expected &Request) {
  return Choice.Ahead == 0 && Choice.Cost <= Request.Work * GoodFactor + RegionRoundTrip;
}

} // namespace anvilsaddle::placement
