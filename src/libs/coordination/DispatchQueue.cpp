#include "coordination/DispatchQueue.h"

#include <iterator>
#include <limits>

namespace anvilsaddle {

namespace {

/// Span over which starts are counted for the expected wait.
constexpr Duration RateWindow = std::chrono::seconds(1);

} // namespace

DispatchQueue::Place DispatchQueue::makePlace(RequestNumber Request, const RequestTerms &Terms,
                                              Duration Work, TimePoint Now) {
  const TimePoint LatestStart = Terms.Received + Terms.Objective - Work;
  return {Terms.Priority, LatestStart < Now, LatestStart, Request};
}

void DispatchQueue::push(RequestNumber Request, const RequestTerms &Terms, Duration Work,
                         TimePoint Now) {
  const Place Added = makePlace(Request, Terms, Work, Now);
  this->Order.insert(Added);
  this->Places.emplace(Request, Added);
}

bool DispatchQueue::remove(RequestNumber Request) {
  const auto Found = this->Places.find(Request);
  if (Found == this->Places.end()) {
    return false;
  }
  this->Order.erase(Found->second);
  this->Places.erase(Found);
  return true;
}

std::optional<RequestNumber> DispatchQueue::first(TimePoint Now) {
  while (!this->Order.empty()) {
    Place Head = *this->Order.begin();
    if (Head.TooLate || Head.LatestStart >= Now) {
      return Head.Request;
    }
    this->Order.erase(this->Order.begin());
    Head.TooLate = true;
    this->Order.insert(Head);
    this->Places[Head.Request] = Head;
  }
  return std::nullopt;
}

void DispatchQueue::onStart(TimePoint Now) { this->Starts.push_back(Now); }

std::optional<Duration> DispatchQueue::expectedWait(const RequestTerms &Terms, Duration Work,
                                                    TimePoint Now) {
  while (!this->Starts.empty() && this->Starts.front() < Now - RateWindow) {
    this->Starts.pop_front();
  }
  if (this->Starts.empty()) {
    return std::nullopt;
  }
  // A new request comes behind those that are equal to it.
  constexpr RequestNumber Newest = std::numeric_limits<RequestNumber>::max();
  const auto Behind = this->Order.lower_bound(makePlace(Newest, Terms, Work, Now));
  const auto Ahead = std::distance(this->Order.begin(), Behind);
  return RateWindow * Ahead / static_cast<std::int64_t>(this->Starts.size());
}

} // namespace anvilsaddle
