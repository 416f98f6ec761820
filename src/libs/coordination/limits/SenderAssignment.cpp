#include "coordination/limits/SenderAssignment.h"

#include "coordination/membership/RendezvousHash.h"

#include <algorithm>
#include <cstdint>

namespace anvilsaddle {

bool SenderAssignment::isSender(const TargetName &Target, std::size_t MaxSenders) const {
  const std::uint64_t OwnScore = rendezvousScore(Target.str(), this->Self);
  const auto HigherScores = std::count_if(
      this->LiveEntries.begin(), this->LiveEntries.end(),
      [&](const std::string &Each) { return rendezvousScore(Target.str(), Each) > OwnScore; });
  return static_cast<std::size_t>(HigherScores) < MaxSenders;
}

} // namespace anvilsaddle
