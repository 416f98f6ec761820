#pragma once

#include "coordination/RandomSource.h"

#include <cstdint>
#include <random>

namespace anvilsaddle {

/// Pseudo-random source with a fixed seed, for reproducible simulations.
class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed) : Engine(Seed) {}

  double uniform() override { return std::uniform_real_distribution<double>(0, 1)(this->Engine); }
  std::uint64_t bits() override { return this->Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace anvilsaddle
