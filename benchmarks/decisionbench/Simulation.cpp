#include "Simulation.h"

#include "IdealPolicy.h"
#include "coordination/ArrivalChoicePolicy.h"
#include "coordination/OwnerQueuePolicy.h"
#include "coordination/RetryPolicy.h"

#include <cmath>
#include <stdexcept>

namespace anvilsaddle::bench {

namespace {
constexpr Duration InteractiveDeadline{500'000};
constexpr Duration BulkDeadline{2'000'000};
/// Time until the sender learns of a refusal or a failed connection.
constexpr Duration FailureNoticeTime{1'000};
/// Excluded from the figures, so that all policies start in a steady state.
constexpr double WarmUpSeconds = 2;

struct CustomerMix {
  const char *Name;
  std::uint32_t Weight;
  double CumulativeShare;
};
constexpr std::array<CustomerMix, 3> Customers{
    {{"t.gold", 4, 0.4}, {"t.silver", 2, 0.7}, {"t.bronze", 1, 1.0}}};

TimePoint at(double Seconds) {
  return TimePoint(Duration(static_cast<std::int64_t>(Seconds * 1e6)));
}

double milliseconds(Duration Time) { return static_cast<double>(Time.count()) / 1e3; }

/// Uniform in (0, 1] from a counter (SplitMix64).
double hashedUniform(std::uint64_t Value) {
  Value += 0x9E3779B97F4A7C15U;
  Value = (Value ^ (Value >> 30U)) * 0xBF58476D1CE4E5B9U;
  Value = (Value ^ (Value >> 27U)) * 0x94D049BB133111EBU;
  Value ^= Value >> 31U;
  return (static_cast<double>(Value >> 11U) + 1) / 9007199254740993.0;
}
} // namespace

Simulation::Simulation(const Scenario &Case, const PolicyChoice &Choice, std::uint64_t Seed,
                       double Seconds)
    : Case(Case), End(at(Seconds)),
      MeasureFrom(at(Case.Kind == Fault::None ? WarmUpSeconds : Seconds / 3)), ArrivalRandom(Seed),
      PolicyRandom(Seed + 1), ServiceSeed(Seed * 1'000'003) {
  this->Result.Capacity = Case.Targets * TargetSlots * 1e6 / MeanService;
  this->ArrivalGap = 1e6 / (this->Result.Capacity * Case.Load);
  this->Result.MeasuredSeconds =
      std::chrono::duration<double>(this->End - this->MeasureFrom).count();
  for (std::uint32_t Index = 0; Index < Case.Targets; ++Index) {
    this->Targets.emplace_back(TargetName("vm" + std::to_string(Index + 100) + "/s"));
  }
  for (std::uint32_t Index = 0; Index < Choice.Entries; ++Index) {
    this->Entries.push_back(this->makePolicy(Choice.Name));
    this->Budgets.emplace_back();
  }
  this->Wakeups.resize(Choice.Entries);
}

std::unique_ptr<DispatchPolicy> Simulation::makePolicy(const std::string &Name) {
  if (Name == "ideal") {
    return std::make_unique<IdealPolicy>(this->Targets);
  }
  if (Name == "owner-queue") {
    return std::make_unique<OwnerQueuePolicy>();
  }
  if (Name == "random") {
    return std::make_unique<RandomPolicy>(this->PolicyRandom);
  }
  if (Name == "round-robin") {
    return std::make_unique<RoundRobinPolicy>();
  }
  if (Name == "two-choices") {
    return std::make_unique<TwoChoicesPolicy>(this->PolicyRandom);
  }
  if (Name == "least-in-flight") {
    return std::make_unique<LeastInFlightPolicy>(this->PolicyRandom);
  }
  throw std::invalid_argument("unknown policy " + Name);
}

RunFigures Simulation::run() {
  this->setTargets(false);
  this->schedule(TimePoint{}, EventKind::Arrival, 0);
  const double Seconds = std::chrono::duration<double>(this->End.time_since_epoch()).count();
  this->schedule(at(Seconds / 3), EventKind::Change, 0);
  this->schedule(at(Seconds * 2 / 3), EventKind::Change, 1);
  while (!this->Events.empty()) {
    const Event Next = this->Events.top();
    this->Events.pop();
    this->Now = Next.When;
    this->handle(Next);
  }
  return std::move(this->Result);
}

void Simulation::schedule(TimePoint When, EventKind Kind, std::uint64_t Subject,
                          std::uint32_t Attempt) {
  this->Events.push({When, this->NextOrder++, Kind, Subject, Attempt});
}

void Simulation::handle(const Event &Next) {
  switch (Next.Kind) {
  case EventKind::Arrival:
    this->onArrival();
    return;
  case EventKind::ServiceEnd:
    this->onServiceEnd(Next);
    return;
  case EventKind::FailureNotice:
    if (this->Requests[Next.Subject].State == RequestState::Running &&
        this->Requests[Next.Subject].Attempts == Next.Attempt) {
      this->onFailure(Next.Subject);
    }
    return;
  case EventKind::Deadline:
    this->onDeadline(Next.Subject);
    return;
  case EventKind::Retry:
    if (this->Requests[Next.Subject].State == RequestState::Retrying) {
      this->enqueue(Next.Subject);
    }
    return;
  case EventKind::Wakeup:
    this->Wakeups[Next.Subject].reset();
    this->pump(static_cast<std::uint32_t>(Next.Subject));
    return;
  case EventKind::Change:
    this->onChange(Next.Subject);
    return;
  }
}

void Simulation::onArrival() {
  if (this->Now >= this->End) {
    return;
  }
  Request Next;
  Next.Arrival = this->Now;
  Next.Class = this->ArrivalRandom.uniform() < this->Case.BulkPart ? RequestClass::Bulk
                                                                   : RequestClass::Interactive;
  Next.Deadline =
      this->Now + (Next.Class == RequestClass::Bulk ? BulkDeadline : InteractiveDeadline);
  const double Share = this->ArrivalRandom.uniform() * (this->Case.OneCustomer ? 0 : 1);
  while (Customers.at(Next.Customer).CumulativeShare < Share) {
    ++Next.Customer;
  }
  Next.Entry = static_cast<std::uint32_t>(this->ArrivalRandom.uniform() *
                                          static_cast<double>(this->Entries.size()));
  Next.Measured = this->Now >= this->MeasureFrom;
  const RequestNumber Number = this->Requests.size();
  this->Requests.push_back(Next);
  if (Next.Measured) {
    ++this->figures(Next).Offered;
  }
  this->Budgets[Next.Entry].onFirstAttempt(CustomerName(Customers.at(Next.Customer).Name),
                                           ServiceName("s"), this->Now);
  this->schedule(Next.Deadline, EventKind::Deadline, Number);
  const double Gap = -std::log(1 - this->ArrivalRandom.uniform()) * this->ArrivalGap;
  this->schedule(this->Now + Duration(static_cast<std::int64_t>(Gap)), EventKind::Arrival, 0);
  this->enqueue(Number);
}

void Simulation::enqueue(RequestNumber Number) {
  Request &Next = this->Requests[Number];
  Next.State = RequestState::Waiting;
  const CustomerMix &Who = Customers.at(Next.Customer);
  QueuedRequest Queued{Number,     CustomerName(Who.Name), Who.Weight,   1'000'000,
                       Next.Class, Next.Deadline,          Next.Excluded};
  if (this->Entries[Next.Entry]->enqueue(Queued, this->Now) != EnqueueOutcome::Queued) {
    this->finish(Next, &ClassFigures::Overloaded, false);
    return;
  }
  this->pump(Next.Entry);
}

void Simulation::pump(std::uint32_t Entry) {
  DispatchPolicy &Policy = *this->Entries[Entry];
  for (const RequestNumber Number : Policy.expire(this->Now)) {
    this->finish(this->Requests[Number], &ClassFigures::Expired, false);
  }
  for (const Assignment &Next : Policy.assign(this->Now)) {
    this->send(Next);
  }
  const auto Next = Policy.nextWakeup(this->Now);
  std::optional<TimePoint> &Planned = this->Wakeups[Entry];
  if (Next && (!Planned || *Next < *Planned)) {
    Planned = std::max(*Next, this->Now + Duration(1));
    this->schedule(*Planned, EventKind::Wakeup, Entry);
  }
}

void Simulation::send(const Assignment &Next) {
  Request &Subject = this->Requests[Next.Request];
  ++Subject.Attempts;
  Subject.State = RequestState::Running;
  Subject.Sent = this->Now;
  Subject.Target = static_cast<std::uint32_t>(std::stoul(Next.Target.str().substr(2)) - 100);
  FakeTarget &Target = this->Targets[Subject.Target];
  if (Target.size() >= TargetSlots) {
    ++this->Result.SlotViolations;
  }
  switch (Target.receive(Next.Request, this->Now)) {
  case FakeTarget::Reception::Started:
    this->beginService(Next.Request);
    return;
  case FakeTarget::Reception::Queued:
    return;
  case FakeTarget::Reception::FailedOver:
    this->failOver(Subject.Target, Next.Request);
    return;
  case FakeTarget::Reception::Refused:
    ++this->Result.ColdViolations;
    this->schedule(this->Now + FailureNoticeTime, EventKind::FailureNotice, Next.Request,
                   Subject.Attempts);
    return;
  }
}

void Simulation::failOver(std::uint32_t Target, RequestNumber Cause) {
  ++this->Result.ColdViolations;
  std::vector<RequestNumber> Lost = this->Targets[Target].takeAll();
  Lost.push_back(Cause);
  for (const RequestNumber Each : Lost) {
    this->schedule(this->Now + FailureNoticeTime, EventKind::FailureNotice, Each,
                   this->Requests[Each].Attempts);
  }
}

void Simulation::beginService(RequestNumber Number) {
  Request &Subject = this->Requests[Number];
  Subject.ServiceStart = this->Now;
  const double Draw = hashedUniform(this->ServiceSeed + Number * 8 + Subject.Attempts);
  const double Time = -std::log(Draw) * MeanService * this->Targets[Subject.Target].timeFactor();
  this->schedule(this->Now + Duration(static_cast<std::int64_t>(Time) + 1), EventKind::ServiceEnd,
                 Number, Subject.Attempts);
}

void Simulation::leaveTarget(RequestNumber Number) {
  if (const auto Next = this->Targets[this->Requests[Number].Target].remove(Number)) {
    this->beginService(*Next);
  }
}

void Simulation::report(RequestNumber Number, AttemptOutcome Outcome) {
  const Request &Subject = this->Requests[Number];
  const Duration Time = this->Now - Subject.Sent;
  this->Entries[Subject.Entry]->onAttemptEnd(
      Number, {Outcome, Time, Time, this->PolicyRandom.uniform()}, this->Now);
}

void Simulation::onServiceEnd(const Event &Next) {
  Request &Subject = this->Requests[Next.Subject];
  if (Subject.State != RequestState::Running || Subject.Attempts != Next.Attempt) {
    return;
  }
  FakeTarget &Target = this->Targets[Subject.Target];
  const std::size_t Before = Target.size();
  this->leaveTarget(Next.Subject);
  if (Target.size() == Before) {
    // The target failed over during the service; the notice of that is on its way.
    return;
  }
  Target.onAnswer();
  this->report(Next.Subject, AttemptOutcome::Succeeded);
  this->finish(Subject, &ClassFigures::Good, true);
  this->pump(Subject.Entry);
}

void Simulation::onDeadline(RequestNumber Number) {
  Request &Subject = this->Requests[Number];
  if (Subject.State == RequestState::Running) {
    this->leaveTarget(Number);
    this->report(Number, AttemptOutcome::DeadlineExceeded);
    this->finish(Subject, &ClassFigures::Late, true);
  } else if (Subject.State == RequestState::Retrying) {
    this->finish(Subject, &ClassFigures::Failed, true);
  }
  this->pump(Subject.Entry);
}

void Simulation::onFailure(RequestNumber Number) {
  Request &Subject = this->Requests[Number];
  this->report(Number, AttemptOutcome::Failed);
  FailedAttempt Failed;
  Failed.Target = this->Targets[Subject.Target].name();
  Failed.Attempts = Subject.Attempts;
  Failed.Repeatable = true;
  Failed.Deadline = Subject.Deadline;
  Failed.Excluded = Subject.Excluded;
  const RetryDecision Decision =
      RetryPolicy::decide(Failed, this->PolicyRandom.uniform(), this->Now, [&] {
        return this->Budgets[Subject.Entry].tryTake(
            CustomerName(Customers.at(Subject.Customer).Name), ServiceName("s"), this->Now);
      });
  if (const RetryAt *Again = std::get_if<RetryAt>(&Decision)) {
    Subject.State = RequestState::Retrying;
    Subject.Excluded = Again->Excluded;
    this->schedule(Again->When, EventKind::Retry, Number);
  } else {
    this->finish(Subject, &ClassFigures::Failed, true);
  }
  this->pump(Subject.Entry);
}

void Simulation::onChange(std::uint64_t Step) {
  switch (this->Case.Kind) {
  case Fault::None:
    return;
  case Fault::SlowTarget:
    this->Targets.front().setSlow(Step == 0 ? 10 : 1);
    break;
  case Fault::ColdTarget:
    this->Targets.front().turnCold();
    break;
  case Fault::DomainOut:
    this->setTargets(Step == 0);
    break;
  }
  for (std::uint32_t Entry = 0; Entry < this->Entries.size(); ++Entry) {
    this->pump(Entry);
  }
}

void Simulation::setTargets(bool DomainOut) {
  std::vector<DispatchTarget> Usable;
  for (std::uint32_t Index = 0; Index < this->Targets.size(); ++Index) {
    const bool Affected = this->Case.Kind == Fault::DomainOut && Index % this->Case.Domains == 0;
    if (Affected && DomainOut) {
      continue;
    }
    if (Affected && this->Now > TimePoint{}) {
      this->Targets[Index].turnCold();
    }
    Usable.push_back({this->Targets[Index].name(), TargetSlots});
  }
  for (const auto &Policy : this->Entries) {
    Policy->setTargets(Usable, this->Now);
  }
}

void Simulation::finish(Request &Done, std::uint64_t ClassFigures::*Counter, bool Timed) {
  Done.State = RequestState::Done;
  Done.Excluded.clear();
  if (!Done.Measured) {
    return;
  }
  ClassFigures &Figures = this->figures(Done);
  ++(Figures.*Counter);
  if (!Timed) {
    return;
  }
  Figures.Responses.push_back(milliseconds(this->Now - Done.Arrival));
  if (Counter == &ClassFigures::Good) {
    Figures.Waits.push_back(milliseconds(Done.ServiceStart - Done.Arrival));
  }
}

} // namespace anvilsaddle::bench
