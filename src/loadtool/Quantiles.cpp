#include "loadtool/Quantiles.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace anvilsaddle {

Duration quantile(const std::vector<Duration> &Sorted, double Fraction) {
  if (Sorted.empty()) {
    return Duration::zero();
  }
  // Without the tolerance, 0.999 * 1000 may come out slightly above 999 and select one rank too
  // high.
  constexpr double RoundingTolerance = 1e-9;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Sorted.size()) - RoundingTolerance));
  return Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
}

} // namespace anvilsaddle
