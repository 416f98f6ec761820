#pragma once

#include <cstdint>

namespace anvilsaddle {

/// Source of random numbers. The daemon seeds it from the system; tests and benchmarks use fixed
/// seeds.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// Returns a uniformly distributed value in [0, 1).
  virtual double uniform() = 0;
  virtual std::uint64_t bits() = 0;
};

} // namespace anvilsaddle
