#pragma once

#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace anvilsaddle {

/// Counts events of the last window by age. Not thread-safe.
class QuotaTally {
public:
  static constexpr Duration SlotLength = std::chrono::milliseconds(250);

  /// A negative count takes back events that were counted before.
  void add(double Count, TimePoint Now);
  /// Adds events of which only the window is known.
  void addEvenly(double Count, Duration Window, TimePoint Now);
  /// Returns the sum over a window.
  double sum(Duration Window, TimePoint Now) const;
  /// Adds the counts to a list by age, newest first.
  void addTo(std::vector<double> &ByAge, TimePoint Now) const;
  void removeOlderThan(Duration Window, TimePoint Now);

private:
  struct Slot {
    std::int64_t Number = 0;
    double Count = 0;
  };

  /// In the order of their numbers.
  std::deque<Slot> Slots;
};

/// Number of slots of a window.
inline std::size_t slotCount(Duration Window) {
  return static_cast<std::size_t>((Window + QuotaTally::SlotLength - Duration(1)) /
                                  QuotaTally::SlotLength);
}

} // namespace anvilsaddle
