#include "coordination/dispatch/DispatchQueue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace anvilsaddle {

namespace {

/// Time span over which dispatches are counted for the expected wait.
constexpr Duration RateWindow = std::chrono::seconds(1);
/// The queue must have been non-empty for at least this time before a wait is estimated, because a
/// younger queue may be empty again after the next response of a target.
constexpr Duration MinMeasuringSpan = std::chrono::milliseconds(250);

} // namespace

DispatchQueue::SortKey DispatchQueue::makeKey(RequestNumber Request,
                                              const RequestAttributes &Attributes,
                                              Duration ProcessingTime, TimePoint Now) {
  const TimePoint LatestDispatch = Attributes.ReceivedAt + Attributes.Objective - ProcessingTime;
  return {Attributes.Priority, LatestDispatch<Now, LatestDispatch - Attributes.CallerElapsed,
                                              Request, LatestDispatch, Attributes.CallerElapsed>
                                   Duration(0)};
}

void DispatchQueue::push(RequestNumber Request, const RequestAttributes &Attributes,
                         Duration ProcessingTime, bool IsFromQueue, TimePoint Now) {
  if (this->Order.empty() && !IsFromQueue) {
    this->NonEmptySince = Now;
    this->DispatchTimes.clear();
  }
  const SortKey Added = makeKey(Request, Attributes, ProcessingTime, Now);
  this->Order.insert(Added);
  this->Requests.emplace(
      Request, QueuedRequest{Added, Attributes.ReceivedAt +
                                        (Added.LatestDispatch - Attributes.ReceivedAt) / 2});
}

bool DispatchQueue::remove(RequestNumber Request) {
  const auto Found = this->Requests.find(Request);
  if (Found == this->Requests.end()) {
    return false;
  }
  this->Order.erase(Found->second.Key);
  this->Requests.erase(Found);
  return true;
}

std::optional<RequestNumber> DispatchQueue::front(TimePoint Now) {
  while (!this->Order.empty()) {
    const SortKey &Head = *this->Order.begin();
    if (Head.MissesObjective) {
      return Head.Request;
    }
    if (Head.LatestDispatch < Now) {
      this->demote(SortKey(Head));
      continue;
    }
    if (!this->isOverloaded(Now)) {
      return Head.Request;
    }
    const auto HasSameRank = [&Head](const SortKey &Each) {
      return Each.Priority == Head.Priority && !Each.MissesObjective;
    };
    SortKey Newest = Head;
    for (auto Next = this->Order.begin(); Next != this->Order.end() && HasSameRank(*Next); ++Next) {
      Newest = std::pair(Next->IsReturning, Next->Request) >
                       std::pair(Newest.IsReturning, Newest.Request)
                   ? *Next
                   : Newest;
    }
    if (Newest.LatestDispatch >= Now) {
      return Newest.Request;
    }
    this->demote(Newest);
  }
  return std::nullopt;
}

void DispatchQueue::demote(const SortKey &Key) {
  const RequestNumber Request = Key.Request;
  SortKey Demoted = Key;
  Demoted.MissesObjective = true;
  this->Order.erase(Key);
  this->Order.insert(Demoted);
  this->Requests[Request].Key = Demoted;
}

bool DispatchQueue::isOverloaded(TimePoint Now) const {
  if (this->Order.empty() || this->Order.begin()->MissesObjective) {
    return false;
  }
  return Now >= this->Requests.at(this->Order.begin()->Request).HalfWaitTime;
}

void DispatchQueue::onDispatched(TimePoint Now) {
  this->DispatchTimes.push_back(Now);
  while (this->DispatchTimes.front() < Now - RateWindow) {
    this->DispatchTimes.pop_front();
  }
}

std::optional<Duration> DispatchQueue::dispatchInterval(TimePoint Now) const {
  const Duration Span = std::min(RateWindow, Now - this->NonEmptySince);
  const auto Counted = std::count_if(this->DispatchTimes.begin(), this->DispatchTimes.end(),
                                     [&](TimePoint Time) { return Time >= Now - Span; });
  if (this->Order.empty() || Span < MinMeasuringSpan || Counted == 0) {
    return std::nullopt;
  }
  return Span / Counted;
}

std::optional<Duration> DispatchQueue::expectedWait(const RequestAttributes &Attributes,
                                                    Duration ProcessingTime, TimePoint Now) const {
  const std::optional<Duration> Interval = this->dispatchInterval(Now);
  if (!Interval) {
    return std::nullopt;
  }
  return *Interval * static_cast<std::int64_t>(this->countAhead(Attributes, ProcessingTime, Now));
}

std::size_t DispatchQueue::countAhead(const RequestAttributes &Attributes, Duration ProcessingTime,
                                      TimePoint Now) const {
  constexpr RequestNumber Newest = std::numeric_limits<RequestNumber>::max();
  return this->countAhead(makeKey(Newest, Attributes, ProcessingTime, Now), Now);
}

std::size_t DispatchQueue::countEarlier(const RequestAttributes &Attributes,
                                        Duration ProcessingTime, TimePoint Now) const {
  constexpr RequestNumber Newest = std::numeric_limits<RequestNumber>::max();
  const auto FirstBehind =
      this->Order.upper_bound(makeKey(Newest, Attributes, ProcessingTime, Now));
  return static_cast<std::size_t>(std::distance(this->Order.begin(), FirstBehind));
}

std::size_t DispatchQueue::countAhead(const SortKey &New, TimePoint Now) const {
  // In an overload a new request goes ahead of those with the same priority.
  const bool GoesAhead = !New.MissesObjective && this->isOverloaded(Now);
  const auto FirstBehind =
      std::find_if(this->Order.begin(), this->Order.end(), [&](const SortKey &Each) {
        return GoesAhead ? Each.Priority >= New.Priority : New < Each;
      });
  return static_cast<std::size_t>(std::distance(this->Order.begin(), FirstBehind));
}

bool DispatchQueue::allMissObjective(TimePoint Now) const {
  return !this->Order.empty() &&
         std::all_of(this->Order.begin(), this->Order.end(), [Now](const SortKey &Each) {
           return Each.MissesObjective || Each.LatestDispatch < Now;
         });
}

std::optional<RequestNumber> DispatchQueue::back() const {
  if (this->Order.empty()) {
    return std::nullopt;
  }
  return this->Order.rbegin()->Request;
}

std::optional<Duration> DispatchQueue::expectedWaitOfBack(TimePoint Now) const {
  const std::optional<Duration> Interval = this->dispatchInterval(Now);
  if (!Interval) {
    return std::nullopt;
  }
  return *Interval * static_cast<std::int64_t>(this->Order.size() - 1);
}

} // namespace anvilsaddle
