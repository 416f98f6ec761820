#include "DispatchWorld.h"

#include "Batches.h"

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr Duration ProbeTime = 1ms;

Topology makePlaces() {
  Topology Result;
  Result.OwnDomain = FailureDomainName("a1");
  Result.OwnRegion = RegionName("a");
  Result.RegionByDomain = {{FailureDomainName("a1"), RegionName("a")},
                           {FailureDomainName("a2"), RegionName("a")},
                           {FailureDomainName("b1"), RegionName("b")},
                           {FailureDomainName("b2"), RegionName("b")}};
  return Result;
}

DispatchLimits makeTerms() {
  DispatchLimits Result;
  Result.Retries = {0.2, 1000, 10s};
  return Result;
}

} // namespace

DispatchWorld::DispatchWorld(std::uint64_t Seed)
    : Random(Seed), Decisions(makePlaces(), makeTerms(), "10.0.0.1", this->Random) {
  this->Decisions.setEntries({"10.0.0.1"}, 1);
  Service Known;
  Known.Name = ServiceName("s");
  Known.HealthPath = "/health";
  Known.ColdRequestsPerSecond = 4;
  this->Decisions.setServices({{Known.Name, Known}});
  this->OnProbe = [](const TargetName &) { return ProbeReport{true, {0, 0, 3, 1}, true, 0s}; };
  this->OnSend = [](const SendAttempt &) { return AttemptPlan{}; };
}

void DispatchWorld::publish(const Publication &Change) {
  this->Decisions.targets().apply(batch(false, {Change}), this->Now);
}

void DispatchWorld::addTarget(const std::string &Name, const std::string &Domain, bool Draining) {
  Target Value;
  Value.Name = TargetName(Name);
  Value.Service = ServiceName("s");
  Value.Address = {"10.9.0.1", 80};
  Value.Domain = FailureDomainName(Domain);
  Value.Slots = 3;
  Value.Draining = Draining;
  this->publish(TargetRegistered{Value});
}

RequestAttributes DispatchWorld::terms(bool Idempotent) const {
  RequestAttributes Result;
  Result.Route = RouteName("r");
  Result.Service = ServiceName("s");
  Result.Idempotent = Idempotent;
  Result.MaxTargets = 3;
  Result.Received = this->Now;
  Result.Objective = 250ms;
  Result.Deadline = this->Now + 2s;
  return Result;
}

RequestNumber DispatchWorld::request(RequestAttributes Terms) {
  const RequestNumber Number = ++this->LastNumber;
  this->Decisions.onRequest(Number, std::move(Terms), this->Now);
  this->settle();
  return Number;
}

void DispatchWorld::leave(RequestNumber Number) {
  if (!this->Finals.contains(Number)) {
    this->Gone.insert(Number);
    this->Decisions.onCallerDisconnected(Number, this->Now);
    this->settle();
  }
}

void DispatchWorld::at(TimePoint Time, std::function<void()> Action) {
  this->Agenda.emplace(Time, std::move(Action));
}

void DispatchWorld::run(Duration Time) {
  const TimePoint End = this->Now + Time;
  // Each step goes to the next event; a bound on their number ends a loop without progress.
  for (int Steps = 0; Steps < 1'000'000; ++Steps) {
    TimePoint Next = End;
    if (!this->Agenda.empty()) {
      Next = std::min(Next, this->Agenda.begin()->first);
    }
    if (const auto Wakeup = this->Decisions.nextWakeup()) {
      Next = std::min(Next, std::max(this->Now, *Wakeup));
    }
    this->Now = Next;
    if (Next >= End) {
      return;
    }
    while (!this->Agenda.empty() && this->Agenda.begin()->first <= this->Now) {
      const auto Action = std::move(this->Agenda.extract(this->Agenda.begin()).mapped());
      Action();
      this->settle();
    }
    this->Decisions.onTick(this->Now);
    this->settle();
  }
  this->Faults.emplace_back("no progress");
}

void DispatchWorld::settle() {
  while (true) {
    const std::vector<Effect> Effects = this->Decisions.takeEffects();
    if (Effects.empty()) {
      return;
    }
    for (const Effect &Each : Effects) {
      if (const auto *Probe = std::get_if<ProbeTarget>(&Each)) {
        this->probe(*Probe);
      } else if (const auto *Order = std::get_if<SendAttempt>(&Each)) {
        this->send(*Order);
      } else if (const auto *Cancel = std::get_if<CancelAttempt>(&Each)) {
        for (SentAttempt &Sending : this->Sent) {
          if (Sending.Order.Request == Cancel->Request &&
              Sending.Order.Attempt == Cancel->Attempt) {
            Sending.Cancelled = true;
          }
        }
      } else if (const auto *Deliver = std::get_if<DeliverResponse>(&Each)) {
        this->finish(Deliver->Request, {this->Now, Deliver->Attempt, std::nullopt});
      } else {
        const auto &Refusal = std::get<RefuseRequest>(Each);
        this->finish(Refusal.Request, {this->Now, std::nullopt, Refusal});
      }
    }
  }
}

void DispatchWorld::probe(const ProbeTarget &Probe) {
  ++this->Probes;
  const ProbePlan Plan = this->OnProbe(Probe.Target);
  if (std::holds_alternative<std::monostate>(Plan)) {
    return;
  }
  this->at(this->Now + ProbeTime, [this, Name = Probe.Target, Plan] {
    if (const auto *Report = std::get_if<ProbeReport>(&Plan)) {
      this->Decisions.onProbe(Name, *Report, this->Now);
    } else {
      this->Decisions.onProbeFailed(Name, std::get<ProbeFailure>(Plan), this->Now);
    }
  });
}

void DispatchWorld::send(const SendAttempt &Order) {
  if (this->Finals.contains(Order.Request) || this->Gone.contains(Order.Request)) {
    this->Faults.push_back("a request was sent after its end");
  }
  const std::size_t Index = this->Sent.size();
  this->Sent.push_back({Order, this->Now, false, std::nullopt});
  const AttemptPlan Plan = this->OnSend(Order);
  this->at(this->Now + Plan.Takes, [this, Index, Plan] {
    SentAttempt &Ended = this->Sent[Index];
    if (Ended.Cancelled) {
      return;
    }
    Ended.Outcome = Plan.Outcome;
    AttemptResult End{Plan.Outcome, std::nullopt, 1500};
    if (this->OnAnswerLoad) {
      End.Load = this->OnAnswerLoad(Ended.Order.Target);
    }
    this->Decisions.onAttemptEnd(Ended.Order.Request, Ended.Order.Attempt, End, this->Now);
  });
}

void DispatchWorld::finish(RequestNumber Number, Final End) {
  if (this->Gone.contains(Number) || !this->Finals.emplace(Number, std::move(End)).second) {
    this->Faults.push_back("a request ended twice");
  }
}

std::vector<DispatchWorld::SentAttempt> DispatchWorld::sentOf(RequestNumber Number) const {
  std::vector<SentAttempt> Result;
  for (const SentAttempt &Each : this->Sent) {
    if (Each.Order.Request == Number) {
      Result.push_back(Each);
    }
  }
  return Result;
}

const DispatchWorld::Final *DispatchWorld::finalOf(RequestNumber Number) const {
  const auto Found = this->Finals.find(Number);
  return Found == this->Finals.end() ? nullptr : &Found->second;
}

std::string DispatchWorld::onlyTarget(RequestNumber Number) const {
  const std::vector<SentAttempt> Attempts = this->sentOf(Number);
  return Attempts.size() == 1 ? Attempts.front().Order.Target.str() : "";
}

} // namespace anvilsaddle
