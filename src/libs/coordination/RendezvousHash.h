#pragma once

#include <cstdint>
#include <string_view>

namespace anvilsaddle {

/// Score of a candidate for an item. The candidate with the highest score is chosen; all processes
/// compute the same score, and removing one candidate moves only its own items.
std::uint64_t rendezvousScore(std::string_view Item, std::string_view Candidate);

} // namespace anvilsaddle
