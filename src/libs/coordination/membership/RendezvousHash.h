#pragma once

#include <cstdint>
#include <string_view>

namespace anvilsaddle {

/// Returns the score of a candidate for an item (highest random weight hashing). The candidate with
/// the highest score is chosen. All processes compute the same score, and removing a candidate
/// reassigns only its own items.
std::uint64_t rendezvousScore(std::string_view Item, std::string_view Candidate);

} // namespace anvilsaddle
