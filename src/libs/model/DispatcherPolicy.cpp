#include "model/DispatcherPolicy.h"

#include "coordination/RandomSource.h"
#include "coordination/membership/Membership.h"
#include "model/EventScheduler.h"
#include "model/ModelTargets.h"

#include <string>
#include <utility>

namespace anvilsaddle {

namespace {

/// All simulated requests are for this service.
const char *const SimulatedServiceName = "service";
constexpr std::uint16_t EntryPort = 7200;
constexpr std::size_t ResponseBytes = 1500;
constexpr std::size_t MaxExchangedRecords = 8;

std::string domainName(std::uint32_t Domain) { return "domain-" + std::to_string(Domain); }

std::string regionName(std::uint32_t Region) { return "region-" + std::to_string(Region); }

} // namespace

DispatcherPolicy::DispatcherPolicy(const ModelScenario &Scenario, EventScheduler &Scheduler,
                                   ModelTargets &Targets, RandomSource &Random)
    : Scenario(Scenario), Scheduler(Scheduler), Targets(Targets), Random(Random) {
  const std::uint32_t Domains = Scenario.Regions * Scenario.DomainsPerRegion;
  for (std::uint32_t Domain = 0; Domain < Domains; ++Domain) {
    for (std::uint32_t Number = 0; Number < Scenario.EntriesPerDomain; ++Number) {
      Entry NewEntry;
      NewEntry.Domain = Domain;
      NewEntry.RequestDispatcher = std::make_unique<Dispatcher>(
          this->topologyOf(Domain), DispatchLimits{}, std::to_string(this->Entries.size()), Random);
      this->Entries.push_back(std::move(NewEntry));
    }
  }
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    this->configureEntry(Index);
  }
  this->scheduleExchange();
}

void DispatcherPolicy::scheduleExchange() {
  this->Scheduler.after(Membership::GossipInterval, [this] {
    for (Entry &Each : this->Entries) {
      const auto Receiver = static_cast<std::size_t>(this->Random.uniform() *
                                                     static_cast<double>(this->Entries.size()));
      const TimePoint Now = this->Scheduler.now();
      this->Entries[Receiver].RequestDispatcher->saturation().add(
          Each.RequestDispatcher->saturation().takeRecords(MaxExchangedRecords, Now), Now);
    }
    this->scheduleExchange();
  });
}

Topology DispatcherPolicy::topologyOf(std::uint32_t Domain) const {
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

Duration DispatcherPolicy::oneWayDelay(std::uint32_t From, std::uint32_t To) const {
  if (From == To) {
    return Duration(0);
  }
  return this->regionOf(From) == this->regionOf(To) ? this->Scenario.DomainDelay
                                                    : this->Scenario.RegionDelay;
}

void DispatcherPolicy::configureEntry(std::size_t Index) {
  Entry &Self = this->Entries[Index];
  std::vector<std::string> RegionEntries;
  RemoteEntries::EntriesByRegion Remote;
  for (std::size_t Other = 0; Other < this->Entries.size(); ++Other) {
    const std::uint32_t OtherRegion = this->regionOf(this->Entries[Other].Domain);
    if (OtherRegion == this->regionOf(Self.Domain)) {
      RegionEntries.push_back(std::to_string(Other));
    } else {
      Remote[RegionName(regionName(OtherRegion))].push_back({std::to_string(Other), EntryPort});
    }
  }
  Self.RequestDispatcher->setEntries(std::move(RegionEntries), this->Entries.size());
  Self.RequestDispatcher->setRetryShare({this->Entries.size(), RetryShareReason::KnownEntries});
  Self.RequestDispatcher->setRemoteEntries(std::move(Remote));
  PublicationBatch Registrations;
  Registrations.IsSnapshot = true;
  for (std::size_t Each = 0; Each < this->Targets.size(); ++Each) {
    Target NewTarget;
    NewTarget.Name = TargetName(std::to_string(Each));
    NewTarget.Service = ServiceName(SimulatedServiceName);
    NewTarget.Domain = FailureDomainName(domainName(this->domainOfTarget(Each)));
    NewTarget.Slots = this->Scenario.Slots;
    Registrations.Changes.emplace_back(TargetRegistered{NewTarget});
  }
  Self.RequestDispatcher->targets().apply(Registrations, this->Scheduler.now());
}

void DispatcherPolicy::onRequest(ModelRequest Request) {
  const std::size_t Index = Request.Entry;
  Request.Attributes.Service = ServiceName(SimulatedServiceName);
  this->submit(Index, std::move(Request));
  this->applyEffects(Index);
}

RequestNumber DispatcherPolicy::submit(std::size_t Index, ModelRequest Request) {
  Entry &Self = this->Entries[Index];
  const RequestNumber Number = ++Self.LastNumber;
  RequestAttributes Attributes = Request.Attributes;
  Self.Requests.emplace(Number, std::move(Request));
  Self.RequestDispatcher->onRequest(Number, std::move(Attributes), this->Scheduler.now());
  return Number;
}

void DispatcherPolicy::applyEffects(std::size_t Index) {
  Entry &Self = this->Entries[Index];
  for (auto Next = Self.RequestDispatcher->takeEffects(); !Next.empty();
       Next = Self.RequestDispatcher->takeEffects()) {
    for (const Effect &Each : Next) {
      std::visit([this, Index](const auto &Action) { this->applyEffect(Index, Action); }, Each);
    }
  }
  this->scheduleWakeup(Index);
}

void DispatcherPolicy::scheduleWakeup(std::size_t Index) {
  Entry &Self = this->Entries[Index];
  const auto Next = Self.RequestDispatcher->nextTick();
  if (!Next || (Self.Wakeup && *Self.Wakeup <= *Next && *Self.Wakeup > this->Scheduler.now())) {
    return;
  }
  // Leaves at least one microsecond between two wakeups, so that the simulated time advances.
  const TimePoint Time = std::max(*Next, this->Scheduler.now() + Duration(1));
  Self.Wakeup = Time;
  this->Scheduler.at(Time, [this, Index, Time] {
    if (this->Entries[Index].Wakeup == Time) {
      this->Entries[Index].Wakeup.reset();
      this->Entries[Index].RequestDispatcher->onTick(Time);
      this->applyEffects(Index);
    }
  });
}

void DispatcherPolicy::applyEffect(std::size_t Index, const ProbeTarget &Probe) {
  ++this->ProbeCount;
  const std::size_t Target = std::stoul(Probe.Target.str());
  const Duration OneWayDelay =
      this->oneWayDelay(this->Entries[Index].Domain, this->domainOfTarget(Target));
  this->Scheduler.after(OneWayDelay, [this, Index, Target, OneWayDelay, Name = Probe.Target] {
    const ProbeReport Report{true, this->Targets.load(Target), true, Duration(0)};
    this->Scheduler.after(OneWayDelay, [this, Index, Name, Report] {
      this->Entries[Index].RequestDispatcher->onProbe(Name, Report, this->Scheduler.now());
      this->applyEffects(Index);
    });
  });
}

void DispatcherPolicy::applyEffect(std::size_t Index, const SendAttempt &Send) {
  if (Send.Forward) {
    this->forward(Index, Send);
    return;
  }
  const std::size_t Target = std::stoul(Send.Target.str());
  const Duration OneWayDelay =
      this->oneWayDelay(this->Entries[Index].Domain, this->domainOfTarget(Target));
  const Duration ProcessingTime = this->Entries[Index].Requests.at(Send.Request).ProcessingTime;
  this->Scheduler.after(OneWayDelay, [this, Index, Target, ProcessingTime, OneWayDelay, Send] {
    this->Targets.send(
        Target, ProcessingTime, [this, Index, Target, OneWayDelay, Send](bool Executed) {
          const AttemptResult End{Executed ? AttemptOutcome::Succeeded
                                           : AttemptOutcome::NotExecuted,
                                  this->Targets.load(Target), ResponseBytes};
          this->Scheduler.after(OneWayDelay,
                                [this, Index, Send, End] { this->endAttempt(Index, Send, End); });
        });
  });
}

void DispatcherPolicy::forward(std::size_t Index, const SendAttempt &Send) {
  const std::size_t Other = std::stoul(Send.Target.str());
  ModelRequest Forwarded;
  const ModelRequest &Current = this->Entries[Index].Requests.at(Send.Request);
  Forwarded.Attributes = Current.Attributes;
  Forwarded.Attributes.CameFromOtherEntry = true;
  Forwarded.Attributes.MayQueue = Send.Forward->MayQueue;
  Forwarded.Attributes.MaxTargets = Send.Forward->MaxTargets;
  Forwarded.ProcessingTime = Current.ProcessingTime;
  Forwarded.Entry = Other;
  Forwarded.OnEnd = [this, Index, Send](ModelOutcome Outcome, Duration) {
    AttemptResult End;
    End.Outcome = Outcome == ModelOutcome::Served    ? AttemptOutcome::Succeeded
                  : Outcome == ModelOutcome::Refused ? AttemptOutcome::NotExecuted
                                                     : AttemptOutcome::Interrupted;
    this->Scheduler.after(this->Scenario.RegionDelay,
                          [this, Index, Send, End] { this->endAttempt(Index, Send, End); });
  };
  this->Scheduler.after(this->Scenario.RegionDelay,
                        [this, Forwarded = std::move(Forwarded)]() mutable {
                          this->onRequest(std::move(Forwarded));
                        });
}

void DispatcherPolicy::endAttempt(std::size_t Index, const SendAttempt &Send,
                                  const AttemptResult &End) {
  this->Entries[Index].RequestDispatcher->onAttemptEnd(Send.Request, Send.Attempt, End,
                                                       this->Scheduler.now());
  this->applyEffects(Index);
}

void DispatcherPolicy::applyEffect(std::size_t Index, const DeliverResponse &Delivery) {
  this->endRequest(Index, Delivery.Request, ModelOutcome::Served, Duration(0));
}

void DispatcherPolicy::applyEffect(std::size_t Index, const RefuseRequest &Refusal) {
  const bool IsNotExecuted = Refusal.Kind == RefusalKind::NotExecuted;
  this->endRequest(Index, Refusal.Request,
                   IsNotExecuted ? ModelOutcome::Refused : ModelOutcome::Failed,
                   Refusal.RetryAfter);
}

void DispatcherPolicy::endRequest(std::size_t Index, RequestNumber Number, ModelOutcome Outcome,
                                  Duration RetryAfter) {
  const auto Ended = this->Entries[Index].Requests.extract(Number);
  Ended.mapped().OnEnd(Outcome, RetryAfter);
}

} // namespace anvilsaddle
