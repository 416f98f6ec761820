#include "coordination/dispatch/DispatchQueue.h"

#include <algorithm>
#include <cmath>
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
/// What a request that misses its objective costs its customer, in dispatches, while others could
/// still meet theirs. The inverse is the smallest share of the mean rate that a customer gets.
constexpr double LateCost = 4;

} // namespace

bool DispatchQueue::Level::empty() const {
  return std::all_of(this->Lanes.begin(), this->Lanes.end(),
                     [](const auto &Each) { return Each.second.Order.empty(); });
}

DispatchQueue::SortKey DispatchQueue::makeKey(RequestNumber Request,
                                              const RequestAttributes &Attributes,
                                              Duration ProcessingTime, TimePoint Now) {
  const TimePoint LatestDispatch = Attributes.ReceivedAt + Attributes.Objective - ProcessingTime;
  const bool IsReturning = Attributes.CallerElapsed > Duration(0);
  return {LatestDispatch < Now, LatestDispatch - Attributes.CallerElapsed, Request, LatestDispatch,
          IsReturning};
}

void DispatchQueue::push(RequestNumber Request, const RequestAttributes &Attributes,
                         Duration ProcessingTime, bool IsFromQueue, TimePoint Now) {
  if (this->Requests.empty() && !IsFromQueue) {
    this->NonEmptySince = Now;
    this->DispatchTimes.clear();
    this->Levels.clear();
  }
  const SortKey Added = makeKey(Request, Attributes, ProcessingTime, Now);
  Level &Peers = this->Levels[Attributes.Priority];
  Lane &Own = Peers.Lanes[Attributes.Customer];
  if (Own.Order.empty()) {
    // A customer gets no credit for the time in which it sent nothing.
    Own.VirtualTime = std::max(Own.VirtualTime, Peers.VirtualTime);
  }
  Own.Order.insert(Added);
  this->Requests.emplace(
      Request,
      QueuedRequest{Added, Attributes.Priority, Attributes.Customer,
                    Attributes.ReceivedAt + (Added.LatestDispatch - Attributes.ReceivedAt) / 2});
}

bool DispatchQueue::remove(RequestNumber Request) {
  const auto Found = this->Requests.find(Request);
  if (Found == this->Requests.end()) {
    return false;
  }
  const QueuedRequest &Removed = Found->second;
  this->Levels.at(Removed.Priority).Lanes.at(Removed.Customer).Order.erase(Removed.Key);
  this->Requests.erase(Found);
  return true;
}

std::optional<RequestNumber> DispatchQueue::front(TimePoint Now) {
  const auto Best = std::find_if(this->Levels.begin(), this->Levels.end(),
                                 [](const auto &Each) { return !Each.second.empty(); });
  if (Best == this->Levels.end()) {
    return std::nullopt;
  }
  Level &Peers = Best->second;
  // Idle customers that would begin at the virtual time anyway.
  std::erase_if(Peers.Lanes, [&Peers](const auto &Each) {
    return Each.second.Order.empty() && Each.second.VirtualTime <= Peers.VirtualTime;
  });
  struct Choice {
    double VirtualTime = 0;
    RequestNumber Request = 0;
  };
  std::optional<Choice> InTime;
  std::optional<Choice> Late;
  for (auto &[Customer, Each] : Peers.Lanes) {
    if (Each.Order.empty()) {
      continue;
    }
    // Moves back what is late by now, before it is known whether the customer can meet an
    // objective.
    const RequestNumber First = this->frontOf(Each, Now);
    std::optional<Choice> &Lowest = Each.canMeetObjective() ? InTime : Late;
    if (!Lowest || Each.VirtualTime < Lowest->VirtualTime) {
      Lowest = Choice{Each.VirtualTime, First};
    }
  }
  const bool TakesLate = Late && (!InTime || Late->VirtualTime + LateCost <= InTime->VirtualTime);
  return TakesLate ? Late->Request : InTime->Request;
}

RequestNumber DispatchQueue::frontOf(Lane &From, TimePoint Now) {
  while (true) {
    const SortKey &Head = *From.Order.begin();
    if (Head.MissesObjective) {
      return Head.Request;
    }
    if (Head.LatestDispatch < Now) {
      this->demote(From, SortKey(Head));
      continue;
    }
    if (!this->isOverloaded(From, Now)) {
      return Head.Request;
    }
    SortKey Newest = Head;
    for (auto Next = From.Order.begin(); Next != From.Order.end() && !Next->MissesObjective;
         ++Next) {
      Newest = std::pair(Next->IsReturning, Next->Request) >
                       std::pair(Newest.IsReturning, Newest.Request)
                   ? *Next
                   : Newest;
    }
    if (Newest.LatestDispatch >= Now) {
      return Newest.Request;
    }
    this->demote(From, Newest);
  }
}

void DispatchQueue::demote(Lane &From, const SortKey &Key) {
  const RequestNumber Request = Key.Request;
  SortKey Demoted = Key;
  Demoted.MissesObjective = true;
  From.Order.erase(Key);
  From.Order.insert(Demoted);
  this->Requests[Request].Key = Demoted;
}

bool DispatchQueue::isOverloaded(const Lane &Value, TimePoint Now) const {
  return Value.canMeetObjective() &&
         Now >= this->Requests.at(Value.Order.begin()->Request).HalfWaitTime;
}

bool DispatchQueue::isOverloaded(const CustomerName &Customer, TimePoint Now) const {
  const auto First = std::find_if(this->Levels.begin(), this->Levels.end(),
                                  [](const auto &Each) { return !Each.second.empty(); });
  if (First == this->Levels.end()) {
    return false;
  }
  const auto &Lanes = First->second.Lanes;
  auto Found = Lanes.find(Customer);
  if (Found == Lanes.end() || Found->second.Order.empty()) {
    Found = std::find_if(Lanes.begin(), Lanes.end(),
                         [](const auto &Each) { return !Each.second.Order.empty(); });
  }
  return this->isOverloaded(Found->second, Now);
}

void DispatchQueue::onDispatched(const RequestAttributes &Attributes, Duration ProcessingTime,
                                 TimePoint Now) {
  this->DispatchTimes.push_back(Now);
  while (this->DispatchTimes.front() < Now - RateWindow) {
    this->DispatchTimes.pop_front();
  }
  const auto Found = this->Levels.find(Attributes.Priority);
  if (Found == this->Levels.end()) {
    return;
  }
  Level &Peers = Found->second;
  Lane &Own =
      Peers.Lanes.try_emplace(Attributes.Customer, Lane{{}, Peers.VirtualTime}).first->second;
  const bool IsLate = makeKey(0, Attributes, ProcessingTime, Now).MissesObjective;
  const bool DelaysOthers =
      IsLate && std::any_of(Peers.Lanes.begin(), Peers.Lanes.end(), [&Own](const auto &Each) {
        return &Each.second != &Own && Each.second.canMeetObjective();
      });
  Peers.VirtualTime = std::max(Peers.VirtualTime, Own.VirtualTime);
  Own.VirtualTime += DelaysOthers ? LateCost : 1;
}

bool DispatchQueue::hasMoreUrgent(std::uint32_t Priority) const {
  return std::any_of(this->Levels.begin(), this->Levels.lower_bound(Priority),
                     [](const auto &Each) { return !Each.second.empty(); });
}

bool DispatchQueue::hasOtherCustomers(const RequestAttributes &Attributes) const {
  const auto Found = this->Levels.find(Attributes.Priority);
  return Found != this->Levels.end() &&
         std::any_of(Found->second.Lanes.begin(), Found->second.Lanes.end(),
                     [&Attributes](const auto &Each) {
                       return Each.first != Attributes.Customer && !Each.second.Order.empty();
                     });
}

std::optional<Duration> DispatchQueue::dispatchInterval(TimePoint Now) const {
  const Duration Span = std::min(RateWindow, Now - this->NonEmptySince);
  const auto Counted = std::count_if(this->DispatchTimes.begin(), this->DispatchTimes.end(),
                                     [&](TimePoint Time) { return Time >= Now - Span; });
  if (this->Requests.empty() || Span < MinMeasuringSpan || Counted == 0) {
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
  const SortKey New = makeKey(Newest, Attributes, ProcessingTime, Now);
  // In an overload a new request goes ahead of the others of its customer.
  const bool GoesAhead = !New.MissesObjective && this->isOverloaded(Attributes.Customer, Now);
  return this->countAhead(Attributes, New, GoesAhead);
}

std::size_t DispatchQueue::countEarlier(const RequestAttributes &Attributes,
                                        Duration ProcessingTime, TimePoint Now) const {
  constexpr RequestNumber Newest = std::numeric_limits<RequestNumber>::max();
  return this->countAhead(Attributes, makeKey(Newest, Attributes, ProcessingTime, Now), false);
}

std::size_t DispatchQueue::countAhead(const RequestAttributes &Attributes, const SortKey &New,
                                      bool GoesAheadOfOwn) const {
  std::size_t Result = 0;
  for (const auto &[Priority, Peers] : this->Levels) {
    for (const auto &[Customer, Each] : Peers.Lanes) {
      Result += Priority < Attributes.Priority ? Each.Order.size() : 0;
    }
  }
  const auto Found = this->Levels.find(Attributes.Priority);
  if (Found == this->Levels.end()) {
    return Result;
  }
  const Level &Peers = Found->second;
  std::size_t OwnAhead = 0;
  double Turn = Peers.VirtualTime;
  if (const auto Own = Peers.Lanes.find(Attributes.Customer); Own != Peers.Lanes.end()) {
    const std::set<SortKey> &Order = Own->second.Order;
    OwnAhead = GoesAheadOfOwn
                   ? 0
                   : static_cast<std::size_t>(std::distance(Order.begin(), Order.lower_bound(New)));
    Turn = Order.empty() ? std::max(Turn, Own->second.VirtualTime) : Own->second.VirtualTime;
  }
  Turn += static_cast<double>(OwnAhead);
  Result += OwnAhead;
  for (const auto &[Customer, Each] : Peers.Lanes) {
    if (Customer == Attributes.Customer || Each.Order.empty()) {
      continue;
    }
    const double Turns = std::max(0.0, std::ceil(Turn - Each.VirtualTime));
    auto Ahead = static_cast<std::size_t>(Turns);
    if (New.MissesObjective) {
      const auto FirstLate = std::find_if(Each.Order.begin(), Each.Order.end(),
                                          [](const SortKey &Key) { return Key.MissesObjective; });
      Ahead =
          std::max(Ahead, static_cast<std::size_t>(std::distance(Each.Order.begin(), FirstLate)));
    }
    Result += std::min(Each.Order.size(), Ahead);
  }
  return Result;
}

bool DispatchQueue::allMissObjective(TimePoint Now) const {
  const auto IsLate = [Now](const auto &Each) {
    return Each.second.Key.MissesObjective || Each.second.Key.LatestDispatch < Now;
  };
  return !this->Requests.empty() &&
         std::all_of(this->Requests.begin(), this->Requests.end(), IsLate);
}

std::optional<RequestNumber> DispatchQueue::back() const {
  const auto Worst = std::find_if(this->Levels.rbegin(), this->Levels.rend(),
                                  [](const auto &Each) { return !Each.second.empty(); });
  if (Worst == this->Levels.rend()) {
    return std::nullopt;
  }
  // The customer whose last request has its turn after those of all others.
  const auto LastTurn = [](const Lane &Value) {
    return Value.Order.empty() ? -1 : Value.VirtualTime + static_cast<double>(Value.Order.size());
  };
  const auto &Lanes = Worst->second.Lanes;
  const auto Last = std::max_element(Lanes.begin(), Lanes.end(),
                                     [&LastTurn](const auto &Left, const auto &Right) {
                                       return LastTurn(Left.second) < LastTurn(Right.second);
                                     });
  return Last->second.Order.rbegin()->Request;
}

std::optional<Duration> DispatchQueue::expectedWaitOfBack(TimePoint Now) const {
  const std::optional<Duration> Interval = this->dispatchInterval(Now);
  if (!Interval) {
    return std::nullopt;
  }
  return *Interval * static_cast<std::int64_t>(this->Requests.size() - 1);
}

} // namespace anvilsaddle
