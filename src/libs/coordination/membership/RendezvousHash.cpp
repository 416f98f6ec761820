#include "coordination/membership/RendezvousHash.h"

#include <xxhash.h>

namespace anvilsaddle {

std::uint64_t rendezvousScore(std::string_view Item, std::string_view Candidate) {
  const std::uint64_t Seed = XXH3_64bits(Item.data(), Item.size());
  return XXH3_64bits_withSeed(Candidate.data(), Candidate.size(), Seed);
}

} // namespace anvilsaddle
