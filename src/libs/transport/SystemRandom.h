#pragma once

#include "coordination/RandomSource.h"

#include <random>

namespace anvilsaddle {

/// Pseudo-random generator that is seeded by the system. Not thread-safe.
class SystemRandom final : public RandomSource {
public:
  SystemRandom() : Engine(std::random_device{}()) {}

  double uniform() override { return std::uniform_real_distribution<double>(0, 1)(this->Engine); }
  std::uint64_t bits() override { return this->Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace anvilsaddle
