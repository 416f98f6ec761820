#include "coordination/dispatch/SaturationEstimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Fraction of the slots that a low occupancy does not exceed.
constexpr double LowOccupancyFraction = 0.75;
/// A response whose time is this many times the usual one is slow. At this factor, a saturated
/// target with three slots completes as many requests as one with a slot idle.
constexpr double SlowRatio = 1.35;
/// Larger ratios have other causes, such as a target that has stopped for a moment.
constexpr double MaxRatio = 4;
/// The default counts as so many slow responses in the whole fleet.
constexpr double DefaultResponses = 2;
/// Responses lose half of their weight in this time, because targets change.
constexpr Duration HalfLife = 60s;
/// Number of responses in the whole fleet that are enough to rely on.
constexpr double SufficientResponses = 10;
/// Mean time between two explorations of the whole fleet, before and after it knows enough
/// responses.
constexpr Duration InitialExplorationInterval = 150ms;
constexpr Duration FinalExplorationInterval = 10s;
/// An entry doesn't explore again before the first result can be known.
constexpr Duration MinExplorationInterval = 250ms;
/// Limits the memory that estimates of other entries for unknown services can take.
constexpr std::size_t MaxEstimates = 4096;
/// An entry that has less than this multiple of its part of the default keeps it, so that what it
/// knows outweighs the default.
constexpr double MinSharedMultiple = 16;
/// More than an entry can have received within a few half-lives.
constexpr double MaxRecordedResponses = 1e7;

} // namespace

std::uint32_t lowOccupancySlots(std::uint32_t Slots) {
  return Slots < 2 ? Slots : static_cast<std::uint32_t>(LowOccupancyFraction * Slots);
}

SlotOccupancy slotOccupancy(std::uint32_t Occupied, std::uint32_t Slots) {
  if (Occupied <= lowOccupancySlots(Slots)) {
    return SlotOccupancy::Low;
  }
  return Occupied < Slots ? SlotOccupancy::NearlyFull : SlotOccupancy::Full;
}

const char *toString(SlotOccupancy Occupancy) {
  switch (Occupancy) {
  case SlotOccupancy::Low:
    return "low";
  case SlotOccupancy::NearlyFull:
    return "nearly_full";
  case SlotOccupancy::Full:
    return "full";
  }
  return "unknown";
}

double SaturationFactors::at(SlotOccupancy Occupancy) const {
  switch (Occupancy) {
  case SlotOccupancy::Low:
    return 1;
  case SlotOccupancy::NearlyFull:
    return this->NearlyFull;
  case SlotOccupancy::Full:
    return this->Full;
  }
  return 1;
}

SaturationEstimator::Sums SaturationEstimator::sumsAt(const Key &Estimated, TimePoint Now) const {
  const auto Found = this->Estimates.find(Estimated);
  if (Found == this->Estimates.end()) {
    return {};
  }
  Sums Result = Found->second;
  const double Weight = std::exp2(-std::chrono::duration<double>(Now - Result.Time) /
                                  std::chrono::duration<double>(HalfLife));
  Result.Responses *= Weight;
  Result.SlowResponses *= Weight;
  Result.RatioSum *= Weight;
  Result.Time = Now;
  return Result;
}

double SaturationEstimator::factor(const Key &Estimated, TimePoint Now) const {
  const Sums Known = this->sumsAt(Estimated, Now);
  // The sums of an entry are about those of the fleet divided by the number of entries.
  const double Default = DefaultResponses / this->EntryCount;
  const double Responses = Known.Responses + Default;
  // The majority decides, because a request that other entries overtake waits and so is slow also
  // where targets don't slow down.
  if (Known.SlowResponses + Default <= Responses / 2) {
    return 1;
  }
  return std::max(SlowRatio, (Known.RatioSum + Default * DefaultFactor) / Responses);
}

SaturationFactors SaturationEstimator::factors(const ServiceName &Service, TimePoint Now) const {
  return {this->factor({Service, SlotOccupancy::NearlyFull}, Now),
          this->factor({Service, SlotOccupancy::Full}, Now)};
}

void SaturationEstimator::onResponse(const ServiceName &Service, SlotOccupancy Occupancy,
                                     double Ratio, TimePoint Now) {
  if (Occupancy == SlotOccupancy::Low) {
    return;
  }
  this->add(
      {{Service, Occupancy, 1, Ratio >= SlowRatio ? 1.0 : 0.0, std::clamp(Ratio, 0.0, MaxRatio)}},
      Now);
}

bool SaturationEstimator::tryExplore(const ServiceName &Service, SlotOccupancy Occupancy,
                                     double RandomValue, TimePoint Now) {
  if (Occupancy == SlotOccupancy::Low || !this->hasRoomFor({Service, Occupancy})) {
    return false;
  }
  const double Responses = this->sumsAt({Service, Occupancy}, Now).Responses * this->EntryCount;
  const Duration FleetInterval =
      Responses >= SufficientResponses ? FinalExplorationInterval : InitialExplorationInterval;
  const Duration Interval =
      std::max(MinExplorationInterval, scaled(FleetInterval, this->EntryCount));
  std::optional<TimePoint> &Next = this->Estimates[{Service, Occupancy}].NextExploration;
  if (!Next) {
    Next = Now + scaled(Interval, RandomValue);
    return false;
  }
  if (Now < *Next) {
    return false;
  }
  Next = Now + scaled(Interval, 0.5 + RandomValue);
  return true;
}

bool SaturationEstimator::hasRoomFor(const Key &Added) const {
  return this->Estimates.size() < MaxEstimates || this->Estimates.contains(Added);
}

std::vector<SaturationRecord> SaturationEstimator::takeRecords(std::size_t Limit, TimePoint Now) {
  std::vector<SaturationRecord> Result;
  auto Next =
      this->LastTaken ? this->Estimates.upper_bound(*this->LastTaken) : this->Estimates.begin();
  for (std::size_t Visited = 0; Visited < this->Estimates.size() && Result.size() < Limit;
       ++Visited, ++Next) {
    if (Next == this->Estimates.end()) {
      Next = this->Estimates.begin();
    }
    auto &[Estimated, Current] = *Next;
    Current = this->sumsAt(Estimated, Now);
    if (Current.Responses * this->EntryCount < MinSharedMultiple * DefaultResponses) {
      continue;
    }
    Current.Responses /= 2;
    Current.SlowResponses /= 2;
    Current.RatioSum /= 2;
    Result.push_back({Estimated.first, Estimated.second, Current.Responses, Current.SlowResponses,
                      Current.RatioSum});
    this->LastTaken = Estimated;
  }
  return Result;
}

void SaturationEstimator::add(const std::vector<SaturationRecord> &Records, TimePoint Now) {
  for (const SaturationRecord &Each : Records) {
    const Key Changed{Each.Service, Each.Occupancy};
    const bool IsPossible = Each.Responses > 0 && Each.Responses <= MaxRecordedResponses &&
                            Each.SlowResponses >= 0 && Each.SlowResponses <= Each.Responses &&
                            Each.RatioSum >= 0;
    if (!IsPossible || !this->hasRoomFor(Changed)) {
      continue;
    }
    Sums &Current = this->Estimates[Changed];
    Current = this->sumsAt(Changed, Now);
    Current.Responses += Each.Responses;
    Current.SlowResponses += Each.SlowResponses;
    Current.RatioSum += std::min(Each.RatioSum, MaxRatio * Each.Responses);
  }
}

std::vector<SaturationChange> SaturationEstimator::takeChanges(TimePoint Now) {
  std::vector<SaturationChange> Result;
  for (auto &[Estimated, Current] : this->Estimates) {
    const double Factor = this->factor(Estimated, Now);
    const bool IsSlow = Factor > 1;
    if (IsSlow != std::exchange(Current.WasSlow, IsSlow)) {
      Result.push_back({Estimated.first, Estimated.second, Factor,
                        this->sumsAt(Estimated, Now).Responses * this->EntryCount});
    }
  }
  return Result;
}

} // namespace anvilsaddle
