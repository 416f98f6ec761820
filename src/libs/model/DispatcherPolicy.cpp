#include "model/DispatcherPolicy.h"

#include "model/ModelAgenda.h"
#include "model/ModelTargets.h"

#include <string>
#include <utility>

namespace anvilsaddle {

namespace {

/// All requests are of one service.
const char *const TheService = "service";
constexpr std::uint16_t EntryPort = 7200;
constexpr std::size_t AnswerBytes = 1500;

std::string domainName(std::uint32_t Domain) { return "domain-" + std::to_string(Domain); }

std::string regionName(std::uint32_t Region) { return "region-" + std::to_string(Region); }

} // namespace

DispatcherPolicy::DispatcherPolicy(const ModelScenario &Scenario, ModelAgenda &Agenda,
                                   ModelTargets &Targets, RandomSource &Random)
    : Scenario(Scenario), Agenda(Agenda), Targets(Targets) {
  const std::uint32_t Domains = Scenario.Regions * Scenario.DomainsPerRegion;
  for (std::uint32_t Domain = 0; Domain < Domains; ++Domain) {
    for (std::uint32_t Number = 0; Number < Scenario.EntriesPerDomain; ++Number) {
      Entry Added;
      Added.Domain = Domain;
      Added.Decisions = std::make_unique<Dispatcher>(this->placesOf(Domain), DispatchLimits{},
                                                     std::to_string(this->Entries.size()), Random);
      this->Entries.push_back(std::move(Added));
    }
  }
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    this->introduce(Index);
  }
}

Topology DispatcherPolicy::placesOf(std::uint32_t Domain) const {
  Topology Result;
  const std::uint32_t Domains = this->Scenario.Regions * this->Scenario.DomainsPerRegion;
  for (std::uint32_t Each = 0; Each < Domains; ++Each) {
    Result.RegionByDomain[FailureDomainName(domainName(Each))] =
        RegionName(regionName(this->regionOf(Each)));
  }
  Result.OwnDomain = FailureDomainName(domainName(Domain));
  Result.OwnRegion = Result.regionOf(Result.OwnDomain);
  return Result;
}

Duration DispatcherPolicy::delay(std::uint32_t From, std::uint32_t To) const {
  if (From == To) {
    return Duration(0);
  }
  return this->regionOf(From) == this->regionOf(To) ? this->Scenario.DomainDelay
                                                    : this->Scenario.RegionDelay;
}

void DispatcherPolicy::introduce(std::size_t Index) {
  Entry &Self = this->Entries[Index];
  std::vector<std::string> Region;
  RemoteEntries::EntriesByRegion Remote;
  for (std::size_t Other = 0; Other < this->Entries.size(); ++Other) {
    const std::uint32_t Place = this->regionOf(this->Entries[Other].Domain);
    if (Place == this->regionOf(Self.Domain)) {
      Region.push_back(std::to_string(Other));
    } else {
      Remote[RegionName(regionName(Place))].push_back({std::to_string(Other), EntryPort});
    }
  }
  Self.Decisions->setEntries(std::move(Region), this->Entries.size());
  Self.Decisions->setRemoteEntries(std::move(Remote));
  PublicationBatch Known;
  Known.IsSnapshot = true;
  for (std::size_t Each = 0; Each < this->Targets.size(); ++Each) {
    Target Added;
    Added.Name = TargetName(std::to_string(Each));
    Added.Service = ServiceName(TheService);
    Added.Domain = FailureDomainName(domainName(this->domainOfTarget(Each)));
    Added.Slots = this->Scenario.Slots;
    Known.Changes.emplace_back(TargetRegistered{Added});
  }
  Self.Decisions->targets().apply(Known, this->Agenda.now());
}

void DispatcherPolicy::onRequest(ModelRequest Request) {
  const std::size_t Index = Request.Entry;
  Request.Terms.Service = ServiceName(TheService);
  this->admit(Index, std::move(Request));
  this->settle(Index);
}

RequestNumber DispatcherPolicy::admit(std::size_t Index, ModelRequest Request) {
  Entry &Self = this->Entries[Index];
  const RequestNumber Number = ++Self.LastNumber;
  RequestAttributes Terms = Request.Terms;
  Self.Requests.emplace(Number, std::move(Request));
  Self.Decisions->onRequest(Number, std::move(Terms), this->Agenda.now());
  return Number;
}

void DispatcherPolicy::settle(std::size_t Index) {
  Entry &Self = this->Entries[Index];
  for (auto Next = Self.Decisions->takeEffects(); !Next.empty();
       Next = Self.Decisions->takeEffects()) {
    for (const Effect &Each : Next) {
      std::visit([this, Index](const auto &Order) { this->carryOut(Index, Order); }, Each);
    }
  }
  this->planWakeup(Index);
}

void DispatcherPolicy::planWakeup(std::size_t Index) {
  Entry &Self = this->Entries[Index];
  const auto Next = Self.Decisions->nextWakeup();
  if (!Next || (Self.Wakeup && *Self.Wakeup <= *Next && *Self.Wakeup > this->Agenda.now())) {
    return;
  }
  // Time goes on between two wakeups.
  const TimePoint Time = std::max(*Next, this->Agenda.now() + Duration(1));
  Self.Wakeup = Time;
  this->Agenda.at(Time, [this, Index, Time] {
    if (this->Entries[Index].Wakeup == Time) {
      this->Entries[Index].Wakeup.reset();
      this->Entries[Index].Decisions->onTick(Time);
      this->settle(Index);
    }
  });
}

void DispatcherPolicy::carryOut(std::size_t Index, const ProbeTarget &Probe) {
  ++this->ProbeCount;
  const std::size_t Target = std::stoul(Probe.Target.str());
  const Duration Way = this->delay(this->Entries[Index].Domain, this->domainOfTarget(Target));
  this->Agenda.after(Way, [this, Index, Target, Way, Name = Probe.Target] {
    const ProbeReport Report{true, this->Targets.load(Target), true, Duration(0)};
    this->Agenda.after(Way, [this, Index, Name, Report] {
      this->Entries[Index].Decisions->onProbe(Name, Report, this->Agenda.now());
      this->settle(Index);
    });
  });
}

void DispatcherPolicy::carryOut(std::size_t Index, const SendAttempt &Order) {
  if (Order.Forward) {
    this->passOn(Index, Order);
    return;
  }
  const std::size_t Target = std::stoul(Order.Target.str());
  const Duration Way = this->delay(this->Entries[Index].Domain, this->domainOfTarget(Target));
  const Duration Work = this->Entries[Index].Requests.at(Order.Request).Work;
  this->Agenda.after(Way, [this, Index, Target, Work, Way, Order] {
    this->Targets.send(Target, Work, [this, Index, Target, Way, Order](bool Ran) {
      const AttemptResult End{Ran ? AttemptOutcome::Succeeded : AttemptOutcome::NotExecuted,
                              this->Targets.load(Target), AnswerBytes};
      this->Agenda.after(Way, [this, Index, Order, End] { this->endAttempt(Index, Order, End); });
    });
  });
}

void DispatcherPolicy::passOn(std::size_t Index, const SendAttempt &Order) {
  const std::size_t Other = std::stoul(Order.Target.str());
  ModelRequest Passed;
  const ModelRequest &Current = this->Entries[Index].Requests.at(Order.Request);
  Passed.Terms = Current.Terms;
  Passed.Terms.IsForwarded = true;
  Passed.Terms.MayQueue = Order.Forward->MayQueue;
  Passed.Terms.MaxTargets = Order.Forward->MaxTargets;
  Passed.Work = Current.Work;
  Passed.Entry = Other;
  Passed.OnEnd = [this, Index, Order](ModelOutcome Outcome, Duration) {
    AttemptResult End;
    End.Outcome = Outcome == ModelOutcome::Served    ? AttemptOutcome::Succeeded
                  : Outcome == ModelOutcome::Refused ? AttemptOutcome::NotExecuted
                                                     : AttemptOutcome::Interrupted;
    this->Agenda.after(this->Scenario.RegionDelay,
                       [this, Index, Order, End] { this->endAttempt(Index, Order, End); });
  };
  this->Agenda.after(this->Scenario.RegionDelay, [this, Passed = std::move(Passed)]() mutable {
    this->onRequest(std::move(Passed));
  });
}

void DispatcherPolicy::endAttempt(std::size_t Index, const SendAttempt &Order,
                                  const AttemptResult &End) {
  this->Entries[Index].Decisions->onAttemptEnd(Order.Request, Order.Attempt, End,
                                               this->Agenda.now());
  this->settle(Index);
}

void DispatcherPolicy::carryOut(std::size_t Index, const DeliverResponse &Answer) {
  this->end(Index, Answer.Request, ModelOutcome::Served, Duration(0));
}

void DispatcherPolicy::carryOut(std::size_t Index, const RefuseRequest &Refusal) {
  const bool IsNotRun = Refusal.Kind == RefusalKind::NotExecuted;
  this->end(Index, Refusal.Request, IsNotRun ? ModelOutcome::Refused : ModelOutcome::Failed,
            Refusal.RetryAfter);
}

void DispatcherPolicy::end(std::size_t Index, RequestNumber Number, ModelOutcome Outcome,
                           Duration RetryAfter) {
  const auto Ended = this->Entries[Index].Requests.extract(Number);
  Ended.mapped().OnEnd(Outcome, RetryAfter);
}

} // namespace anvilsaddle
