#include "coordination/dispatch/TargetTable.h"

#include "coordination/EraseOldest.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Half-life of the failure score, so that a target that has recovered is used again soon.
constexpr Duration FailureHalfLife = 2s;
/// Failure score of a target whose response was overtaken by a hedge. Without it, a slow target
/// whose load reports do not tell gets more requests with hedging than without; a larger one also
/// diverts requests from targets with single slow runs.
constexpr double LostHedgeScore = 0.05;
/// Half-life of the numbers of rejections. An entry of a large fleet sends to the same target only
/// every few seconds.
constexpr Duration RejectionHalfLife = 3s;
/// Counts as so many executed requests, so that old rejections lose their effect.
constexpr double AssumedExecutions = 1;
/// Backoff after the first failed probe; it doubles with each further failure.
constexpr Duration InitialBackoff = 200ms;
constexpr Duration MaxBackoff = 2s;

} // namespace

void TargetTable::apply(const PublicationBatch &Batch, TimePoint Now) {
  const bool IsRestored = this->HasSnapshot && Batch.Epoch > this->Epoch;
  this->HasSnapshot = this->HasSnapshot || Batch.IsSnapshot;
  this->Epoch = Batch.Epoch;
  if (IsRestored) {
    // Also without a noticed outage, and if the entry that sent the batch started after the
    // restore.
    this->deferRemovals(ReregistrationTimeout, Now);
  }
  if (Batch.IsSnapshot || IsRestored) {
    this->applyState(Batch, IsRestored, Now);
  } else {
    this->applyChanges(Batch, Now);
  }
}

void TargetTable::applyChanges(const PublicationBatch &Batch, TimePoint Now) {
  for (const Publication &Each : Batch.Changes) {
    if (const auto *Registered = std::get_if<TargetRegistered>(&Each)) {
      this->add(Registered->Registration, Now);
    } else if (const auto *Removed = std::get_if<TargetRemoved>(&Each)) {
      this->rememberRemoval(Removed->Name, Now);
      this->remove(Removed->Name, Now);
    } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Each)) {
      this->setEvacuated(Evacuation->Domain, Evacuation->Active);
    }
  }
}

void TargetTable::applyState(const PublicationBatch &Batch, bool IsRestored, TimePoint Now) {
  std::set<TargetName> ListedTargets;
  std::set<FailureDomainName> ListedDomains;
  for (const Publication &Each : Batch.Changes) {
    if (const auto *Registered = std::get_if<TargetRegistered>(&Each)) {
      ListedTargets.insert(Registered->Registration.Name);
      this->applyListedTarget(Registered->Registration, Now);
    } else if (const auto *Removed = std::get_if<TargetRemoved>(&Each)) {
      this->applyUnlistedTarget(Removed->Name, IsRestored, Now);
    } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Each)) {
      ListedDomains.insert(Evacuation->Domain);
      this->applyListedEvacuation(*Evacuation, IsRestored, Now);
    }
  }
  if (!Batch.IsSnapshot) {
    return;
  }
  std::set<TargetName> Unlisted;
  for (const auto &[Name, State] : this->Targets) {
    Unlisted.insert(Name);
  }
  for (const auto &[Name, Postponed] : this->PostponedTargets) {
    Unlisted.insert(Name);
  }
  std::erase_if(Unlisted, [&](const TargetName &Name) { return ListedTargets.contains(Name); });
  for (const TargetName &Name : Unlisted) {
    this->applyUnlistedTarget(Name, IsRestored, Now);
  }
  std::set<FailureDomainName> Domains = this->EvacuatedDomains;
  for (const auto &[Domain, Postponed] : this->PostponedEvacuations) {
    Domains.insert(Domain);
  }
  for (const FailureDomainName &Domain : Domains) {
    if (!ListedDomains.contains(Domain)) {
      this->applyListedEvacuation({Domain, false}, IsRestored, Now);
    }
  }
}

void TargetTable::applyListedTarget(const Target &Listed, TimePoint Now) {
  const auto IsSuperseded = [&](std::int64_t KnownEpoch, const Target &Known) {
    return KnownEpoch < this->Epoch && Known.isAtLeastAsNewAs(Listed);
  };
  const auto Removed = this->RemovedTargets.find(Listed.Name);
  const bool WasRemoved = Removed != this->RemovedTargets.end() &&
                          IsSuperseded(Removed->second.Epoch, Removed->second.Registration);
  if (WasRemoved && Removed->second.Registration.Draining) {
    return;
  }
  const auto Known = this->Targets.find(Listed.Name);
  if (Known != this->Targets.end() &&
      IsSuperseded(Known->second.Epoch, Known->second.Registration)) {
    Known->second.RemoveAt.reset();
    this->RemovedTargets.erase(Listed.Name);
    return;
  }
  // A target that did not announce its shutdown may be alive: its registration may have expired.
  if (WasRemoved && Now < this->RemovalsDeferredUntil) {
    this->PostponedTargets[Listed.Name] = {Listed, this->RemovalsDeferredUntil};
    return;
  }
  this->add(Listed, Now);
}

void TargetTable::applyUnlistedTarget(const TargetName &Name, bool IsRestored, TimePoint Now) {
  this->PostponedTargets.erase(Name);
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end()) {
    return;
  }
  const bool IsRemovalKnown = this->RemovedTargets.contains(Name);
  if (!IsRestored && !IsRemovalKnown && !Found->second.RemoveAt) {
    this->rememberRemoval(Name, Now);
  } else if (IsRestored && !IsRemovalKnown) {
    // The delay starts over with each restore.
    Found->second.RemoveAt.reset();
  }
  this->remove(Name, Now);
}

void TargetTable::applyListedEvacuation(const DomainEvacuation &Listed, bool IsRestored,
                                        TimePoint Now) {
  if (this->EvacuatedDomains.contains(Listed.Domain) == Listed.Active) {
    this->PostponedEvacuations.erase(Listed.Domain);
    return;
  }
  const bool IsKnownOtherwise = !Listed.Active || this->ReturnedDomains.contains(Listed.Domain);
  if (IsRestored && IsKnownOtherwise && Now < this->RemovalsDeferredUntil) {
    this->PostponedEvacuations[Listed.Domain] = {Listed.Active, this->RemovalsDeferredUntil};
  } else if (!this->PostponedEvacuations.contains(Listed.Domain)) {
    this->setEvacuated(Listed.Domain, Listed.Active);
  }
}

void TargetTable::setEvacuated(const FailureDomainName &Domain, bool Active) {
  this->PostponedEvacuations.erase(Domain);
  if (Active) {
    this->EvacuatedDomains.insert(Domain);
    this->ReturnedDomains.erase(Domain);
  } else if (this->EvacuatedDomains.erase(Domain) > 0) {
    this->ReturnedDomains.insert(Domain);
  }
}

void TargetTable::rememberRemoval(const TargetName &Name, TimePoint Now) {
  const auto Found = this->Targets.find(Name);
  this->PostponedTargets.erase(Name);
  if (Found == this->Targets.end()) {
    return;
  }
  this->RemovedTargets[Name] = {Found->second.Registration, this->Epoch, Now};
  if (this->RemovedTargets.size() > MaxRetainedRemovals) {
    eraseOldest(this->RemovedTargets);
  }
}

std::size_t TargetTable::retainedCount() const {
  const auto Targets = std::count_if(this->Targets.begin(), this->Targets.end(),
                                     [](const auto &Each) { return Each.second.RemoveAt; });
  const auto Evacuations =
      std::count_if(this->PostponedEvacuations.begin(), this->PostponedEvacuations.end(),
                    [](const auto &Each) { return !Each.second.Active; });
  return static_cast<std::size_t>(Targets + Evacuations);
}

std::size_t TargetTable::postponedCount() const {
  const auto Evacuations =
      std::count_if(this->PostponedEvacuations.begin(), this->PostponedEvacuations.end(),
                    [](const auto &Each) { return Each.second.Active; });
  return this->PostponedTargets.size() + static_cast<std::size_t>(Evacuations);
}

void TargetTable::deferRemovals(Duration Delay, TimePoint Now) {
  this->RemovalsDeferredUntil = std::max(this->RemovalsDeferredUntil, Now + Delay);
}

void TargetTable::onSourceRecovered(Duration Outage, TimePoint Now) {
  if (Outage >= MinExpiryOutage) {
    this->deferRemovals(ReregistrationTimeout, Now);
  }
}

Duration TargetTable::removalDelay(TimePoint Now) const {
  return std::max(Duration(0), this->RemovalsDeferredUntil - Now);
}

void TargetTable::onTick(TimePoint Now) {
  this->Pauses.removeEnded(Now);
  std::vector<TargetName> Due;
  for (const auto &[Name, State] : this->Targets) {
    if (State.RemoveAt && *State.RemoveAt <= Now) {
      Due.push_back(Name);
    }
  }
  for (const TargetName &Name : Due) {
    this->erase(Name);
  }
  std::vector<Target> DueTargets;
  for (const auto &[Name, Each] : this->PostponedTargets) {
    if (Each.Due <= Now) {
      DueTargets.push_back(Each.Registration);
    }
  }
  for (const Target &Each : DueTargets) {
    this->add(Each, Now);
  }
  std::vector<DomainEvacuation> DueEvacuations;
  for (const auto &[Domain, Each] : this->PostponedEvacuations) {
    if (Each.Due <= Now) {
      DueEvacuations.push_back({Domain, Each.Active});
    }
  }
  for (const DomainEvacuation &Each : DueEvacuations) {
    this->setEvacuated(Each.Domain, Each.Active);
  }
}

void TargetTable::add(const Target &Value, TimePoint Now) {
  this->RemovedTargets.erase(Value.Name);
  this->PostponedTargets.erase(Value.Name);
  const auto Found = this->Targets.find(Value.Name);
  const bool IsSameStart =
      Found != this->Targets.end() &&
      Found->second.Registration.StartedUnixMilliseconds == Value.StartedUnixMilliseconds;
  if (!IsSameStart) {
    this->erase(Value.Name);
    TargetState State;
    State.Registration = Value;
    State.ColdUntil = Now + Value.RemainingColdTime;
    State.Epoch = this->Epoch;
    State.Conditions.IsLeaving = this->Leaving.contains(Value);
    this->Targets.emplace(Value.Name, std::move(State));
    this->Services[Value.Service].insert(Value.Name);
    return;
  }
  TargetState &State = Found->second;
  if (State.Registration.Service != Value.Service) {
    this->Services[State.Registration.Service].erase(Value.Name);
    this->Services[Value.Service].insert(Value.Name);
  }
  State.Registration = Value;
  State.Epoch = this->Epoch;
  State.RemoveAt.reset();
  if (Value.RemainingColdTime > Duration(0)) {
    State.ColdUntil = std::max(State.ColdUntil, Now + Value.RemainingColdTime);
  }
}

void TargetTable::remove(const TargetName &Name, TimePoint Now) {
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end()) {
    return;
  }
  if (Now >= this->RemovalsDeferredUntil) {
    this->erase(Name);
    return;
  }
  if (!Found->second.RemoveAt) {
    Found->second.RemoveAt = this->RemovalsDeferredUntil;
  }
}

void TargetTable::erase(const TargetName &Name) {
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end()) {
    return;
  }
  const auto Service = this->Services.find(Found->second.Registration.Service);
  Service->second.erase(Name);
  if (Service->second.empty()) {
    this->Services.erase(Service);
  }
  this->Targets.erase(Found);
}

bool TargetTable::isUsable(const TargetState &State) const {
  return !State.Registration.Draining && !State.Conditions.IsLeaving &&
         !this->EvacuatedDomains.contains(State.Registration.Domain);
}

bool TargetTable::isUsable(const TargetName &Name) const {
  const auto Found = this->Targets.find(Name);
  return Found != this->Targets.end() && this->isUsable(Found->second);
}

std::vector<TargetState *> TargetTable::usableTargets(const ServiceName &Service) {
  std::vector<TargetState *> Result;
  const auto Names = this->Services.find(Service);
  if (Names == this->Services.end()) {
    return Result;
  }
  for (const TargetName &Name : Names->second) {
    TargetState &State = this->Targets.at(Name);
    if (this->isUsable(State)) {
      Result.push_back(&State);
    }
  }
  return Result;
}

TargetState *TargetTable::find(const TargetName &Name) {
  const auto Found = this->Targets.find(Name);
  return Found == this->Targets.end() ? nullptr : &Found->second;
}

std::size_t TargetTable::limitedCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->Targets.begin(), this->Targets.end(), [](const auto &Each) {
        return Each.second.Conditions.RequestLimit.has_value();
      }));
}

std::size_t TargetTable::leavingCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->Targets.begin(), this->Targets.end(),
                    [](const auto &Each) { return Each.second.Conditions.IsLeaving; }));
}

void TargetTable::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  TargetState *State = this->find(Name);
  if (!State) {
    return;
  }
  State->ConsecutiveProbeFailures = 0;
  State->BackoffUntil = TimePoint{};
  State->Healthy = Report.Healthy;
  State->ColdUntil = Now + Report.ColdFor;
  this->setConditions(*State, Report.Conditions, Now);
  if (Report.RetryAfter) {
    this->onRetryAfter(Name, *Report.RetryAfter, Now);
  }
  LoadReport Load = Report.Load;
  if (!Report.HasLoad) {
    Load.Running = State->InFlight;
    Load.Slots = State->Registration.Slots;
  }
  this->onLoad(Name, Load, Now);
}

void TargetTable::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  TargetState *State = this->find(Name);
  if (!State) {
    return;
  }
  State->Load.reset();
  const int Doublings =
      static_cast<int>(std::min<std::uint32_t>(State->ConsecutiveProbeFailures, 8));
  const Duration Backoff = std::min(MaxBackoff, InitialBackoff * (1 << Doublings));
  State->BackoffUntil = Now + (Reason == ProbeFailure::WrongTarget ? MaxBackoff : Backoff);
  ++State->ConsecutiveProbeFailures;
}

void TargetTable::onLoad(const TargetName &Name, const LoadReport &Load, TimePoint Now) {
  if (TargetState *State = this->find(Name)) {
    State->Load = Load;
    State->LoadTime = Now;
    State->SentSinceLoad = 0;
  }
}

void TargetTable::onConditions(const TargetName &Name, const TargetConditions &Conditions,
                               TimePoint Now) {
  TargetState *State = this->find(Name);
  if (!State) {
    const auto Removed = this->RemovedTargets.find(Name);
    if (Conditions.IsLeaving && Removed != this->RemovedTargets.end()) {
      this->Leaving.add(Removed->second.Registration, Now);
    }
    return;
  }
  if (Conditions == TargetConditions{}) {
    return;
  }
  TargetConditions Updated = Conditions;
  if (!Updated.RequestLimit) {
    Updated.RequestLimit = State->Conditions.RequestLimit;
  }
  this->setConditions(*State, Updated, Now);
}

void TargetTable::setConditions(TargetState &State, const TargetConditions &Conditions,
                                TimePoint Now) {
  TargetConditions Updated = Conditions;
  Updated.IsLeaving = Conditions.IsLeaving || State.Conditions.IsLeaving;
  if (Updated.IsLeaving) {
    this->Leaving.add(State.Registration, Now);
  }
  if (State.Conditions != Updated) {
    this->ChangedConditions.insert(State.Registration.Name);
  }
  State.Conditions = Updated;
  State.ConditionsTime = Now;
}

void TargetTable::onRetryAfter(const TargetName &Name, Duration Wait, TimePoint Now) {
  const TargetState *State = this->find(Name);
  const auto Removed = this->RemovedTargets.find(Name);
  const bool IsKnown = State || Removed != this->RemovedTargets.end();
  if (!IsKnown || Wait <= Duration(0)) {
    return;
  }
  const Target &Registration = State ? State->Registration : Removed->second.Registration;
  this->NewPauses.push_back(this->Pauses.add(Registration, Wait, Now));
}

void TargetTable::onSent(const TargetName &Name) {
  if (TargetState *State = this->find(Name)) {
    ++State->InFlight;
    ++State->SentSinceLoad;
  }
}

void TargetTable::onAttemptEnd(const TargetName &Name, bool HasFailed, TimePoint Now) {
  TargetState *State = this->find(Name);
  if (!State) {
    return;
  }
  State->InFlight -= State->InFlight > 0 ? 1 : 0;
  if (HasFailed) {
    State->FailureScore = decayedFailureScore(*State, Now) + 1;
    State->FailureScoreTime = Now;
  }
}

void TargetTable::onHedgeLost(const TargetName &Name, TimePoint Now) {
  if (TargetState *State = this->find(Name)) {
    State->FailureScore = decayedFailureScore(*State, Now) + LostHedgeScore;
    State->FailureScoreTime = Now;
  }
}

void TargetTable::onAnswered(const TargetName &Name, bool IsRejected, TimePoint Now) {
  TargetState *State = this->find(Name);
  if (!State) {
    return;
  }
  const double Weight = std::exp2(-std::chrono::duration<double>(Now - State->RejectionTime) /
                                  std::chrono::duration<double>(RejectionHalfLife));
  State->Rejections = State->Rejections * Weight + (IsRejected ? 1 : 0);
  State->Executions = State->Executions * Weight + (IsRejected ? 0 : 1);
  State->RejectionTime = Now;
}

double TargetTable::rejectRate(const TargetState &State, TimePoint Now) {
  const double Weight = std::exp2(-std::chrono::duration<double>(Now - State.RejectionTime) /
                                  std::chrono::duration<double>(RejectionHalfLife));
  const double Rejections = State.Rejections * Weight;
  return Rejections / (Rejections + State.Executions * Weight + AssumedExecutions);
}

double TargetTable::decayedFailureScore(const TargetState &State, TimePoint Now) {
  if (State.FailureScore <= 0) {
    return 0;
  }
  const double HalfLives = std::chrono::duration<double>(Now - State.FailureScoreTime).count() /
                           std::chrono::duration<double>(FailureHalfLife).count();
  return State.FailureScore * std::exp2(-HalfLives);
}

} // namespace anvilsaddle
