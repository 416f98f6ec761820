#include "coordination/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Half-life of the failure score, so that a target that has recovered is used again soon.
constexpr Duration FailureHalfLife = 2s;
/// Backoff after the first failed probe; it doubles with each further failure.
constexpr Duration InitialBackoff = 200ms;
constexpr Duration MaxBackoff = 2s;

} // namespace

void TargetTable::apply(const PublicationBatch &Batch, TimePoint Now) {
  std::set<TargetName> ListedTargets;
  std::set<FailureDomainName> ListedDomains;
  for (const Publication &Each : Batch.Changes) {
    if (const auto *Registered = std::get_if<TargetRegistered>(&Each)) {
      ListedTargets.insert(Registered->Registration.Name);
      this->add(Registered->Registration, Now);
    } else if (const auto *Removed = std::get_if<TargetRemoved>(&Each)) {
      this->remove(Removed->Name, Now);
    } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Each)) {
      if (Evacuation->Active) {
        this->EvacuatedDomains.insert(Evacuation->Domain);
        ListedDomains.insert(Evacuation->Domain);
      } else {
        this->EvacuatedDomains.erase(Evacuation->Domain);
      }
    }
  }
  if (!Batch.IsSnapshot) {
    return;
  }
  this->EvacuatedDomains = std::move(ListedDomains);
  std::vector<TargetName> Unlisted;
  for (const auto &[Name, State] : this->Targets) {
    if (!ListedTargets.contains(Name)) {
      Unlisted.push_back(Name);
    }
  }
  for (const TargetName &Name : Unlisted) {
    this->remove(Name, Now);
  }
}

void TargetTable::deferRemovals(Duration Delay, TimePoint Now) {
  this->RemovalsDeferredUntil = std::max(this->RemovalsDeferredUntil, Now + Delay);
}

Duration TargetTable::removalDelay(TimePoint Now) const {
  return std::max(Duration(0), this->RemovalsDeferredUntil - Now);
}

void TargetTable::onTick(TimePoint Now) {
  std::vector<TargetName> Due;
  for (const auto &[Name, State] : this->Targets) {
    if (State.RemoveAt && *State.RemoveAt <= Now) {
      Due.push_back(Name);
    }
  }
  for (const TargetName &Name : Due) {
    this->erase(Name);
  }
}

void TargetTable::add(const Target &Value, TimePoint Now) {
  const auto Found = this->Targets.find(Value.Name);
  const bool IsSameStart =
      Found != this->Targets.end() &&
      Found->second.Registration.StartedUnixMilliseconds == Value.StartedUnixMilliseconds;
  if (!IsSameStart) {
    this->erase(Value.Name);
    TargetState State;
    State.Registration = Value;
    State.ColdUntil = Now + Value.RemainingColdTime;
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
  return !State.Registration.Draining &&
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
  if (State && Conditions.RequestLimit) {
    this->setConditions(*State, Conditions, Now);
  }
}

void TargetTable::setConditions(TargetState &State, const TargetConditions &Conditions,
                                TimePoint Now) {
  if (State.Conditions != Conditions) {
    this->ChangedConditions.insert(State.Registration.Name);
  }
  State.Conditions = Conditions;
  State.ConditionsTime = Now;
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

double TargetTable::decayedFailureScore(const TargetState &State, TimePoint Now) {
  if (State.FailureScore <= 0) {
    return 0;
  }
  const double HalfLives = std::chrono::duration<double>(Now - State.FailureScoreTime).count() /
                           std::chrono::duration<double>(FailureHalfLife).count();
  return State.FailureScore * std::exp2(-HalfLives);
}

} // namespace anvilsaddle
