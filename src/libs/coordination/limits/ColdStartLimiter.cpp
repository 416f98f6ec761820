#include "coordination/limits/ColdStartLimiter.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Longer than the one second of the limit, because network delays of requests vary.
constexpr Duration SendInterval = std::chrono::milliseconds(1200);
/// Fraction of the limit that is used, because entries may disagree on the live entries: two groups
/// of entries in a network partition select twice as many senders.
constexpr double UsedFraction = 0.45;
/// Expired send times are removed when there are more targets, because targets are added and
/// removed all the time.
constexpr std::size_t MaxRememberedTargets = 1024;

} // namespace

bool ColdStartLimiter::isAssignedSender(const TargetName &Target, double ColdRate) const {
  const double FleetLimit = ColdRate * this->Limits.BurstFactor + this->Limits.Slack;
  const auto MaxSenders = static_cast<std::size_t>(std::max(1.0, UsedFraction * FleetLimit));
  return this->Senders.isSender(Target, MaxSenders);
}

bool ColdStartLimiter::maySend(const TargetName &Target, double ColdRate, TimePoint Now) const {
  const auto Last = this->LastSentAt.find(Target);
  if (Last != this->LastSentAt.end() && Now - Last->second < SendInterval) {
    return false;
  }
  return this->isAssignedSender(Target, ColdRate);
}

void ColdStartLimiter::onSent(const TargetName &Target, TimePoint Now) {
  if (this->LastSentAt.size() >= MaxRememberedTargets) {
    std::erase_if(this->LastSentAt,
                  [Now](const auto &Each) { return Now - Each.second >= SendInterval; });
  }
  this->LastSentAt[Target] = Now;
}

} // namespace anvilsaddle
