#pragma once

#include "coordination/limits/SenderAssignment.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Decides whether this entry may send a request to a target that limits the requests per second of
/// all entries together. A few entries of the target's region, selected by rendezvous hashing, have
/// a token bucket each, so that their sum stays within the limit without shared state. An even
/// share for each entry would not do: each may send at least one request at once, and in a large
/// region these alone exceed a low limit.
///
/// Not thread-safe; times must not decrease.
class RequestRateLimiter {
public:
  explicit RequestRateLimiter(std::string Self) : Senders(std::move(Self)) {}

  /// Sets the names of the live entries of this region, including this one.
  void setEntries(std::vector<std::string> Names) { this->Senders.setEntries(std::move(Names)); }
  /// True if a request may be sent now. Preconditions: the target is in this region, and the limit
  /// is not negative.
  bool maySend(const TargetName &Target, double LimitPerSecond, TimePoint Now) const;
  /// Records a request to a target that demands a limit.
  void onSent(const TargetName &Target, double LimitPerSecond, TimePoint Now);

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint FilledAt{};
  };

  std::size_t senderCount(double LimitPerSecond) const;
  double tokens(const TargetName &Target, double LimitPerSecond, TimePoint Now) const;

  SenderAssignment Senders;
  /// Targets that got a request from this entry; the buckets of all others are full.
  std::map<TargetName, Bucket> Buckets;
};

} // namespace anvilsaddle
