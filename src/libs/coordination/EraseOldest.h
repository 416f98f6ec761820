#pragma once

#include <algorithm>

namespace anvilsaddle {

/// Erases the entry of a map whose value has the earliest `Time`. Precondition: the map is not
/// empty. Not thread-safe.
template <typename Map> void eraseOldest(Map &Values) {
  Values.erase(
      std::min_element(Values.begin(), Values.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Time < Right.second.Time;
      }));
}

} // namespace anvilsaddle
