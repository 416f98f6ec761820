#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// How many slots of a target are occupied while a request runs there, including its own.
enum class SlotOccupancy { Low, NearlyFull, Full };

/// Largest number of occupied slots at which the occupancy of a target is low. Thread-safe.
std::uint32_t lowOccupancySlots(std::uint32_t Slots);

/// Occupancy of a target with the given number of occupied slots; low if it has only one slot.
/// Precondition: `Occupied` is between 1 and `Slots`. Thread-safe.
SlotOccupancy slotOccupancy(std::uint32_t Occupied, std::uint32_t Slots);

/// Processing times at a target relative to one with low occupancy; each at least 1. Value type.
struct SaturationFactors {
  double NearlyFull = 1;
  double Full = 1;

  /// Returns 1 for a low occupancy. Thread-safe.
  double at(SlotOccupancy Occupancy) const;
  auto operator<=>(const SaturationFactors &) const = default;
};

/// Sums over responses at one occupancy that an entry passes on to another. Value type.
struct SaturationRecord {
  ServiceName Service;
  SlotOccupancy Occupancy = SlotOccupancy::Full;
  /// Number of responses, and of those that took much longer than usual. Parts of responses count,
  /// because entries divide what they know.
  double Responses = 0;
  double SlowResponses = 0;
  /// Sum of the ratios of time at the target to usual time.
  double RatioSum = 0;

  auto operator<=>(const SaturationRecord &) const = default;
};

/// A service's targets slow down at an occupancy, or no longer do. Value type.
struct SaturationChange {
  ServiceName Service;
  SlotOccupancy Occupancy = SlotOccupancy::Full;
  /// Processing time relative to a low occupancy; 1 if the targets don't slow down.
  double Factor = 1;
  /// Estimated number of responses of the whole fleet that decided it.
  double Responses = 0;

  auto operator<=>(const SaturationChange &) const = default;
};

const char *toString(SlotOccupancy Occupancy);

/// Estimates for each service how much longer a request takes at a target with few or no free slots
/// than at one with low occupancy, apart from waiting. Some targets slow down so much that they
/// complete more requests with slots idle; without this estimate a short overload there becomes a
/// permanent one.
///
/// In a large fleet each entry sees few responses. Therefore entries share them by push-sum gossip:
/// each entry regularly gives half of its sums to another one, so that the quotients of the sums
/// converge to those of the whole fleet, and a restarted entry adopts them with the first record.
///
/// A service without responses counts as one that slows down: a wrong guess then costs a few idle
/// slots until the first explorations, whereas the opposite error lets an overload after a restart
/// of all entries continue on its own. Not thread-safe; times must not decrease.
class SaturationEstimator {
public:
  /// Factor of a service without responses. Slots of a target with three or more are left idle, but
  /// not one of only two.
  static constexpr double DefaultFactor = 1.6;

  /// Precondition: the count is positive.
  void setEntryCount(std::size_t Count) { this->EntryCount = static_cast<double>(Count); }
  SaturationFactors factors(const ServiceName &Service, TimePoint Now) const;
  /// Updates the estimate from the response to a request at a target with this occupancy. `Ratio`
  /// is its time at the target divided by the usual time. Ignores low occupancies.
  void onResponse(const ServiceName &Service, SlotOccupancy Occupancy, double Ratio, TimePoint Now);
  /// True if a request that would otherwise wait should be sent to a target that it brings to this
  /// occupancy, because slots that are left idle yield no responses to learn from. The entries of
  /// the fleet together explore often until they know a few responses, and rarely afterwards.
  /// `RandomValue` in [0, 1) keeps entries from exploring at the same time.
  bool tryExplore(const ServiceName &Service, SlotOccupancy Occupancy, double RandomValue,
                  TimePoint Now);
  /// Gives half of the sums of at most `Limit` estimates away; the next call continues behind them.
  std::vector<SaturationRecord> takeRecords(std::size_t Limit, TimePoint Now);
  /// Adds what another entry has given away. Ignores records with impossible values.
  void add(const std::vector<SaturationRecord> &Records, TimePoint Now);
  /// Returns what has changed since the last call.
  std::vector<SaturationChange> takeChanges(TimePoint Now);

private:
  struct Sums {
    double Responses = 0;
    double SlowResponses = 0;
    double RatioSum = 0;
    /// Time to which the sums have decayed.
    TimePoint Time{};
    /// Not set until a request would have to wait.
    std::optional<TimePoint> NextExploration;
    /// What the last call of takeChanges() knew.
    bool WasSlow = true;
  };

  using Key = std::pair<ServiceName, SlotOccupancy>;

  /// Sums that have decayed until now; all zero for an unknown key.
  Sums sumsAt(const Key &Estimated, TimePoint Now) const;
  bool hasRoomFor(const Key &Added) const;
  double factor(const Key &Estimated, TimePoint Now) const;

  double EntryCount = 1;
  std::map<Key, Sums> Estimates;
  /// Last estimate that takeRecords() has divided.
  std::optional<Key> LastTaken;
};

} // namespace anvilsaddle
