#pragma once

#include <cstdint>

namespace anvilsaddle {

/// Source of random draws. The daemon seeds it from the system; tests and benchmarks use fixed
/// seeds.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// Uniform in [0, 1).
  virtual double uniform() = 0;
  virtual std::uint64_t bits() = 0;
};

} // namespace anvilsaddle
