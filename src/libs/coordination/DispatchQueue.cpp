#include "coordination/DispatchQueue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace anvilsaddle {

namespace {

/// Span over which starts are counted for the expected wait.
constexpr Duration RateWindow = std::chrono::seconds(1);
/// A queue that has stood for less time may be gone with the next answer of a target.
constexpr Duration ShortestSpan = std::chrono::milliseconds(250);

} // namespace

DispatchQueue::Place DispatchQueue::makePlace(RequestNumber Request, const RequestAttributes &Terms,
                                              Duration Work, TimePoint Now) {
  const TimePoint LatestStart = Terms.Received + Terms.Objective - Work;
  return {Terms.Priority, LatestStart < Now, LatestStart, Request};
}

void DispatchQueue::push(RequestNumber Request, const RequestAttributes &Terms, Duration Work,
                         bool IsBack, TimePoint Now) {
  if (this->Order.empty() && !IsBack) {
    this->WaitingSince = Now;
    this->Starts.clear();
  }
  const Place Added = makePlace(Request, Terms, Work, Now);
  this->Order.insert(Added);
  this->Places.emplace(Request,
                       Waiting{Added, Terms.Received + (Added.LatestStart - Terms.Received) / 2});
}

bool DispatchQueue::remove(RequestNumber Request) {
  const auto Found = this->Places.find(Request);
  if (Found == this->Places.end()) {
    return false;
  }
  this->Order.erase(Found->second.Current);
  this->Places.erase(Found);
  return true;
}

std::optional<RequestNumber> DispatchQueue::first(TimePoint Now) {
  while (!this->Order.empty()) {
    const Place &Head = *this->Order.begin();
    if (Head.TooLate) {
      return Head.Request;
    }
    if (Head.LatestStart < Now) {
      this->moveBehind(Place(Head));
      continue;
    }
    if (!this->isOverloaded(Now)) {
      return Head.Request;
    }
    const auto IsEqual = [&Head](const Place &Each) {
      return Each.Priority == Head.Priority && !Each.TooLate;
    };
    Place Newest = Head;
    for (auto Next = this->Order.begin(); Next != this->Order.end() && IsEqual(*Next); ++Next) {
      Newest = Next->Request > Newest.Request ? *Next : Newest;
    }
    if (Newest.LatestStart >= Now) {
      return Newest.Request;
    }
    this->moveBehind(Newest);
  }
  return std::nullopt;
}

void DispatchQueue::moveBehind(const Place &Late) {
  const RequestNumber Request = Late.Request;
  Place Moved = Late;
  Moved.TooLate = true;
  this->Order.erase(Late);
  this->Order.insert(Moved);
  this->Places[Request].Current = Moved;
}

bool DispatchQueue::isOverloaded(TimePoint Now) const {
  if (this->Order.empty() || this->Order.begin()->TooLate) {
    return false;
  }
  return Now >= this->Places.at(this->Order.begin()->Request).HalfTime;
}

void DispatchQueue::onStart(TimePoint Now) {
  this->Starts.push_back(Now);
  while (this->Starts.front() < Now - RateWindow) {
    this->Starts.pop_front();
  }
}

std::optional<Duration> DispatchQueue::startInterval(TimePoint Now) const {
  const Duration Span = std::min(RateWindow, Now - this->WaitingSince);
  const auto Counted = std::count_if(this->Starts.begin(), this->Starts.end(),
                                     [&](TimePoint Start) { return Start >= Now - Span; });
  if (this->Order.empty() || Span < ShortestSpan || Counted == 0) {
    return std::nullopt;
  }
  return Span / Counted;
}

std::optional<Duration> DispatchQueue::expectedWait(const RequestAttributes &Terms, Duration Work,
                                                    TimePoint Now) const {
  const std::optional<Duration> Interval = this->startInterval(Now);
  if (!Interval) {
    return std::nullopt;
  }
  constexpr RequestNumber Newest = std::numeric_limits<RequestNumber>::max();
  const std::size_t Ahead = this->countAhead(makePlace(Newest, Terms, Work, Now), Now);
  return *Interval * static_cast<std::int64_t>(Ahead);
}

std::size_t DispatchQueue::countAhead(const Place &New, TimePoint Now) const {
  // In an overload a new request passes those that are as urgent.
  const bool Passes = !New.TooLate && this->isOverloaded(Now);
  const auto Behind = std::find_if(this->Order.begin(), this->Order.end(), [&](const Place &Each) {
    return Passes ? Each.Priority >= New.Priority : New < Each;
  });
  return static_cast<std::size_t>(std::distance(this->Order.begin(), Behind));
}

std::optional<RequestNumber> DispatchQueue::last() const {
  if (this->Order.empty()) {
    return std::nullopt;
  }
  return this->Order.rbegin()->Request;
}

std::optional<Duration> DispatchQueue::waitOfLast(TimePoint Now) const {
  const std::optional<Duration> Interval = this->startInterval(Now);
  if (!Interval) {
    return std::nullopt;
  }
  return *Interval * static_cast<std::int64_t>(this->Order.size() - 1);
}

} // namespace anvilsaddle
