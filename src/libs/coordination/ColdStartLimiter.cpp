#include "coordination/ColdStartLimiter.h"

#include "coordination/RendezvousHash.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Longer than the second of the bound, because links delay requests unevenly.
constexpr Duration SendInterval = std::chrono::milliseconds(1200);
/// Part of the bound that is used, because entries may disagree on who is alive: two groups of
/// entries that don't see each other choose twice as many senders.
constexpr double UsedPart = 0.45;
/// Sent times are forgotten when there are more, as targets come and go.
constexpr std::size_t MaxRemembered = 1024;

} // namespace

bool ColdStartLimiter::isSponsor(const TargetName &Target, double ColdRate) const {
  const double Bound = ColdRate * this->Terms.BurstFactor + this->Terms.Slack;
  const auto Sponsors = static_cast<std::size_t>(std::max(1.0, UsedPart * Bound));
  const std::uint64_t Own = rendezvousScore(Target.str(), this->Self);
  std::size_t Better = 0;
  for (const std::string &Each : this->Entries) {
    Better += rendezvousScore(Target.str(), Each) > Own ? 1 : 0;
  }
  return Better < Sponsors;
}

bool ColdStartLimiter::isOpen(const TargetName &Target, double ColdRate, TimePoint Now) const {
  const auto Last = this->LastSent.find(Target);
  if (Last != this->LastSent.end() && Now - Last->second < SendInterval) {
    return false;
  }
  return this->isSponsor(Target, ColdRate);
}

void ColdStartLimiter::onSent(const TargetName &Target, TimePoint Now) {
  if (this->LastSent.size() >= MaxRemembered) {
    std::erase_if(this->LastSent,
                  [Now](const auto &Each) { return Now - Each.second >= SendInterval; });
  }
  this->LastSent[Target] = Now;
}

} // namespace anvilsaddle
