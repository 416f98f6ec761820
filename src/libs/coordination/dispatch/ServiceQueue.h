#pragma once

#include "coordination/dispatch/DispatchQueue.h"
#include "coordination/dispatch/RunAdmission.h"
#include "coordination/dispatch/ShortageEstimator.h"
#include "state/Time.h"

#include <cstdint>

namespace anvilsaddle {

/// Queue of a service with the times at which its first request searches for a target. Searches
/// that find no free capacity become less frequent, because probes add load to full targets; in the
/// meantime, responses show which slots become free. Not thread-safe; times must not decrease.
class ServiceQueue {
public:
  DispatchQueue Requests;
  ShortageEstimator Shortage;
  RecentSlowdowns Slowdowns;

  /// True if another search for a queued request may start.
  bool maySearch() const { return this->RunningSearches < MaxConcurrentSearches; }
  void onSearchStarted() { ++this->RunningSearches; }
  void onSearchEnded() { this->RunningSearches -= this->RunningSearches > 0 ? 1 : 0; }
  void onSearchFailed();
  /// Records that a request was sent to a target.
  void onDispatched(const RequestAttributes &Attributes, Duration ProcessingTime, TimePoint Now);
  /// Called before the first request is added. `IsFromQueue` tells that the request was taken from
  /// the queue for a search.
  void onNonEmpty(bool IsFromQueue);
  /// Sets the time of the next search; `RandomValue` in [0, 1) adds jitter.
  void scheduleSearch(double RandomValue, TimePoint Now);
  bool isSearchDue(TimePoint Now) const {
    return !this->Requests.empty() && this->NextSearch <= Now;
  }
  /// Time after which a refused caller should return, at the latest `Longest` from now. Callers
  /// refused one after the other get times that are `Interval` apart, the mean time between two
  /// dispatches. They don't wait for the queued requests, because a caller that returns goes ahead
  /// of those that arrived after its first attempt. `RandomValue` in [0, 1) adds jitter.
  Duration reserveRetry(Duration Interval, Duration Longest, double RandomValue, TimePoint Now);
  TimePoint nextSearch() const { return this->NextSearch; }

private:
  static constexpr std::uint32_t MaxConcurrentSearches = 2;

  std::uint32_t RunningSearches = 0;
  TimePoint NextSearch{};
  Duration SearchInterval{0};
  /// Time for the next caller that is refused.
  TimePoint NextRetry{};
};

} // namespace anvilsaddle
