#include "coordination/FairQueue.h"

#include <algorithm>

namespace anvilsaddle {

namespace {
/// Share of the starts that bulk gets while interactive requests wait too.
constexpr double BulkShare = 0.1;
/// Window over which the starts of a class are counted.
constexpr double RateWindowSeconds = 0.25;

void decrement(std::map<CustomerName, std::uint32_t> &Counts, const CustomerName &Customer) {
  const auto Found = Counts.find(Customer);
  if (Found != Counts.end() && --Found->second == 0) {
    Counts.erase(Found);
  }
}

std::uint32_t countOf(const std::map<CustomerName, std::uint32_t> &Counts,
                      const CustomerName &Customer) {
  const auto Found = Counts.find(Customer);
  return Found == Counts.end() ? 0 : Found->second;
}
} // namespace

EnqueueOutcome FairQueue::push(const QueuedRequest &Request, const ServiceEstimate &Service,
                               TimePoint Now) {
  const std::uint32_t Queued = countOf(this->Waiting, Request.Customer);
  if (Queued + countOf(this->Running, Request.Customer) >= Request.MaxInFlight) {
    return EnqueueOutcome::CustomerLimit;
  }
  if (this->Places.size() >= this->Bounds.Total || Queued >= this->Bounds.PerCustomer ||
      Request.Deadline <= Now) {
    return EnqueueOutcome::Overloaded;
  }
  const Duration Left = Request.Deadline - Now;
  const Duration Wait = this->expectedWait(Request, Service.Rate);
  // A short deadline must not be refused by the margin alone while there is no queue.
  if (Wait > Duration(0) && Wait + std::min(Service.Margin, Left / 2) > Left) {
    return EnqueueOutcome::Overloaded;
  }
  Level &Owner = this->level(Request.Class);
  Flow &Queue = Owner.Flows[Request.Customer];
  Queue.Weight = std::max(Request.Weight, 1U);
  if (Owner.Size == 0) {
    Owner.CountedFrom = Now;
  }
  if (Queue.Waiting.empty()) {
    Queue.Start = std::max(Owner.VirtualTime, Queue.Finish);
    Owner.Order.emplace(Queue.Start, Request.Customer);
    Owner.WeightSum += Queue.Weight;
  }
  Queue.Waiting.push_back(Request);
  ++Owner.Size;
  this->Places.emplace(Request.Number, Place{Request.Customer, Request.Class, Request.Deadline});
  this->Deadlines.emplace(Request.Deadline, Request.Number);
  ++this->Waiting[Request.Customer];
  return EnqueueOutcome::Queued;
}

std::optional<QueuedRequest>
FairQueue::popFirst(const std::function<bool(const QueuedRequest &)> &Eligible, TimePoint Now) {
  const bool BothWait = this->Levels[0].Size > 0 && this->Levels[1].Size > 0;
  const bool BulkFirst = BothWait && this->BulkCredit >= 1;
  const auto First = BulkFirst ? RequestClass::Bulk : RequestClass::Interactive;
  const auto Second = BulkFirst ? RequestClass::Interactive : RequestClass::Bulk;
  std::optional<QueuedRequest> Result = this->popFrom(First, Eligible);
  if (!Result) {
    Result = this->popFrom(Second, Eligible);
  }
  if (!Result) {
    return std::nullopt;
  }
  if (Result->Class == RequestClass::Bulk) {
    this->BulkCredit = std::max(0.0, this->BulkCredit - (1 - BulkShare));
  } else if (BothWait) {
    this->BulkCredit = std::min(1.0, this->BulkCredit + BulkShare);
  }
  ++this->Running[Result->Customer];
  countStart(this->level(Result->Class), Now);
  return Result;
}

void FairQueue::countStart(Level &Owner, TimePoint Now) {
  if (Owner.Size == 0) {
    return;
  }
  ++Owner.Starts;
  const double Seconds = std::chrono::duration<double>(Now - Owner.CountedFrom).count();
  if (Seconds < RateWindowSeconds) {
    return;
  }
  const double Rate = Owner.Starts / Seconds;
  Owner.StartRate = Owner.StartRate > 0 ? (Owner.StartRate + Rate) / 2 : Rate;
  Owner.Starts = 0;
  Owner.CountedFrom = Now;
}

std::optional<QueuedRequest>
FairQueue::popFrom(RequestClass Class, const std::function<bool(const QueuedRequest &)> &Eligible) {
  Level &Owner = this->level(Class);
  for (const auto &[Start, Customer] : Owner.Order) {
    auto &Queue = Owner.Flows.at(Customer).Waiting;
    const auto Found = std::find_if(Queue.begin(), Queue.end(), Eligible);
    if (Found == Queue.end()) {
      continue;
    }
    QueuedRequest Result = *Found;
    this->removeWaiting(Owner, Result.Customer, Found, true);
    return Result;
  }
  return std::nullopt;
}

void FairQueue::removeWaiting(Level &Owner, const CustomerName &Customer,
                              const std::deque<QueuedRequest>::iterator &Position, bool Started) {
  Flow &Queue = Owner.Flows.at(Customer);
  this->Deadlines.erase({Position->Deadline, Position->Number});
  this->Places.erase(Position->Number);
  decrement(this->Waiting, Customer);
  --Owner.Size;
  Owner.Order.erase({Queue.Start, Customer});
  Queue.Waiting.erase(Position);
  if (Started) {
    // Only work that starts is charged; expired and cancelled requests cost no share.
    Owner.VirtualTime = std::max(Owner.VirtualTime, Queue.Start);
    Queue.Finish = Queue.Start + 1.0 / Queue.Weight;
    Queue.Start = Queue.Finish;
  }
  if (!Queue.Waiting.empty()) {
    Owner.Order.emplace(Queue.Start, Customer);
    return;
  }
  Owner.WeightSum -= Queue.Weight;
  if (Owner.Size == 0) {
    // The busy period ends, and with it every claim.
    Owner = Level{};
  }
}

std::deque<QueuedRequest>::iterator FairQueue::find(Flow &Owner, RequestNumber Request) {
  return std::find_if(Owner.Waiting.begin(), Owner.Waiting.end(),
                      [Request](const QueuedRequest &Each) { return Each.Number == Request; });
}

bool FairQueue::cancel(RequestNumber Request) {
  const auto Found = this->Places.find(Request);
  if (Found == this->Places.end()) {
    return false;
  }
  const Place Where = Found->second;
  Level &Owner = this->level(Where.Class);
  this->removeWaiting(Owner, Where.Customer, this->find(Owner.Flows.at(Where.Customer), Request),
                      false);
  return true;
}

std::vector<RequestNumber> FairQueue::expire(TimePoint Now) {
  std::vector<RequestNumber> Result;
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    Result.push_back(this->Deadlines.begin()->second);
    this->cancel(Result.back());
  }
  return Result;
}

void FairQueue::onEnd(const CustomerName &Customer) { decrement(this->Running, Customer); }

Duration FairQueue::expectedWait(const QueuedRequest &Request, double Rate) const {
  if (Rate <= 0) {
    return Duration(0);
  }
  const bool Bulk = Request.Class == RequestClass::Bulk;
  const Level &Own = this->level(Request.Class);
  const Level &Other = this->level(Bulk ? RequestClass::Interactive : RequestClass::Bulk);
  const double ClassRate = Other.Size == 0 ? Rate : Rate * (Bulk ? BulkShare : 1 - BulkShare);
  const auto All = static_cast<double>(Own.Size + Other.Size);
  // Interactive requests that arrive later still precede bulk, so its measured rate counts, not the
  // backlog alone.
  const bool Measured = Bulk && Own.StartRate > 0;
  const double OwnRate = Measured ? std::max(Own.StartRate, Rate * BulkShare) : ClassRate;
  double Wait = static_cast<double>(Own.Size) / OwnRate;
  if (!Measured) {
    Wait = std::min(Wait, All / Rate);
  }
  // A customer below its share waits for its own backlog only.
  const auto Found = Own.Flows.find(Request.Customer);
  const bool Backlogged = Found != Own.Flows.end() && !Found->second.Waiting.empty();
  const double Weight = std::max(Request.Weight, 1U);
  const double WeightSum = Own.WeightSum + (Backlogged ? 0 : Weight);
  const double OwnBacklog = Backlogged ? static_cast<double>(Found->second.Waiting.size()) : 0;
  Wait = std::min(Wait, (OwnBacklog + 1) * WeightSum / (Weight * OwnRate));
  return Duration(static_cast<std::int64_t>(Wait * 1e6));
}

std::optional<TimePoint> FairQueue::earliestDeadline() const {
  if (this->Deadlines.empty()) {
    return std::nullopt;
  }
  return this->Deadlines.begin()->first;
}

} // namespace anvilsaddle
