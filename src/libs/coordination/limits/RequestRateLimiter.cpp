#include "coordination/limits/RequestRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {

/// Requests that a sender may save up while none of its callers needs the target.
constexpr double BucketSize = 2;
/// The number of senders is BaseSenders + SendersPerRate times the limit. A target tolerates 1.5
/// times its limit + 5 within 4 s; full buckets of all senders and the limit itself stay 3 requests
/// below that, as entries may disagree for a moment on the live entries.
constexpr double BaseSenders = 1;
constexpr double SendersPerRate = 1;
/// Old buckets are removed when there are more, because targets are added and removed all the time.
constexpr std::size_t MaxBuckets = 1024;
constexpr Duration BucketLifetime = std::chrono::seconds(60);

} // namespace

std::size_t RequestRateLimiter::senderCount(double LimitPerSecond) const {
  const auto Entries = static_cast<double>(std::max<std::size_t>(1, this->Senders.entryCount()));
  return static_cast<std::size_t>(
      std::min(Entries, std::floor(BaseSenders + SendersPerRate * LimitPerSecond)));
}

double RequestRateLimiter::tokens(const TargetName &Target, double LimitPerSecond,
                                  TimePoint Now) const {
  const auto Found = this->Buckets.find(Target);
  if (Found == this->Buckets.end()) {
    return BucketSize;
  }
  const double Rate = LimitPerSecond / static_cast<double>(this->senderCount(LimitPerSecond));
  const double Elapsed = std::chrono::duration<double>(Now - Found->second.FilledAt).count();
  return std::min(BucketSize, Found->second.Tokens + Rate * Elapsed);
}

bool RequestRateLimiter::maySend(const TargetName &Target, double LimitPerSecond,
                                 TimePoint Now) const {
  return LimitPerSecond > 0 && this->tokens(Target, LimitPerSecond, Now) >= 1 &&
         this->Senders.isSender(Target, this->senderCount(LimitPerSecond));
}

void RequestRateLimiter::onSent(const TargetName &Target, double LimitPerSecond, TimePoint Now) {
  if (this->Buckets.size() >= MaxBuckets) {
    std::erase_if(this->Buckets,
                  [Now](const auto &Each) { return Now - Each.second.FilledAt >= BucketLifetime; });
  }
  this->Buckets[Target] = {std::max(0.0, this->tokens(Target, LimitPerSecond, Now) - 1), Now};
}

} // namespace anvilsaddle
