#pragma once

#include "state/Time.h"

#include <vector>

namespace anvilsaddle {

/// Nearest-rank quantile: the smallest value such that at least the given fraction of all values is
/// not greater. Zero if there are no values. Preconditions: the values are sorted in ascending
/// order and 0 < Fraction <= 1.
Duration quantile(const std::vector<Duration> &Sorted, double Fraction);

} // namespace anvilsaddle
