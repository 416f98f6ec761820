#include "coordination/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Failures count half after this time, so that a target that recovered is used again soon.
constexpr Duration FailureHalfLife = 2s;
/// Wait after the first failed probe; doubles with each further one.
constexpr Duration FirstAvoidance = 200ms;
constexpr Duration LongestAvoidance = 2s;

} // namespace

void TargetTable::apply(const PublicationBatch &Batch, TimePoint Now) {
  std::set<TargetName> Listed;
  std::set<FailureDomainName> ListedDomains;
  for (const Publication &Each : Batch.Changes) {
    if (const auto *Registered = std::get_if<TargetRegistered>(&Each)) {
      Listed.insert(Registered->Registration.Name);
      this->add(Registered->Registration, Now);
    } else if (const auto *Removed = std::get_if<TargetRemoved>(&Each)) {
      this->remove(Removed->Name, Now);
    } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Each)) {
      if (Evacuation->Active) {
        this->Evacuated.insert(Evacuation->Domain);
        ListedDomains.insert(Evacuation->Domain);
      } else {
        this->Evacuated.erase(Evacuation->Domain);
      }
    }
  }
  if (!Batch.IsSnapshot) {
    return;
  }
  this->Evacuated = std::move(ListedDomains);
  std::vector<TargetName> Missing;
  for (const auto &[Name, View] : this->Targets) {
    if (!Listed.contains(Name)) {
      Missing.push_back(Name);
    }
  }
  for (const TargetName &Name : Missing) {
    this->remove(Name, Now);
  }
}

void TargetTable::deferRemovals(Duration Wait, TimePoint Now) {
  this->RemovalsWaitUntil = std::max(this->RemovalsWaitUntil, Now + Wait);
}

Duration TargetTable::removalsWait(TimePoint Now) const {
  return std::max(Duration(0), this->RemovalsWaitUntil - Now);
}

void TargetTable::onTick(TimePoint Now) {
  std::vector<TargetName> Due;
  for (const auto &[Name, View] : this->Targets) {
    if (View.RemoveAt && *View.RemoveAt <= Now) {
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
      Found->second.Record.StartedUnixMilliseconds == Value.StartedUnixMilliseconds;
  if (!IsSameStart) {
    this->erase(Value.Name);
    TargetView View;
    View.Record = Value;
    View.ColdUntil = Now + Value.ColdFor;
    this->Targets.emplace(Value.Name, std::move(View));
    this->Services[Value.Service].insert(Value.Name);
    return;
  }
  TargetView &View = Found->second;
  if (View.Record.Service != Value.Service) {
    this->Services[View.Record.Service].erase(Value.Name);
    this->Services[Value.Service].insert(Value.Name);
  }
  View.Record = Value;
  View.RemoveAt.reset();
  if (Value.ColdFor > Duration(0)) {
    View.ColdUntil = std::max(View.ColdUntil, Now + Value.ColdFor);
  }
}

void TargetTable::remove(const TargetName &Name, TimePoint Now) {
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end()) {
    return;
  }
  if (Now >= this->RemovalsWaitUntil) {
    this->erase(Name);
    return;
  }
  if (!Found->second.RemoveAt) {
    Found->second.RemoveAt = this->RemovalsWaitUntil;
  }
}

void TargetTable::erase(const TargetName &Name) {
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end()) {
    return;
  }
  const auto Service = this->Services.find(Found->second.Record.Service);
  Service->second.erase(Name);
  if (Service->second.empty()) {
    this->Services.erase(Service);
  }
  this->Targets.erase(Found);
}

bool TargetTable::isUsable(const TargetView &View) const {
  return !View.Record.Draining && !this->Evacuated.contains(View.Record.Domain);
}

bool TargetTable::isUsable(const TargetName &Name) const {
  const auto Found = this->Targets.find(Name);
  return Found != this->Targets.end() && this->isUsable(Found->second);
}

std::vector<TargetView *> TargetTable::usable(const ServiceName &Service) {
  std::vector<TargetView *> Result;
  const auto Names = this->Services.find(Service);
  if (Names == this->Services.end()) {
    return Result;
  }
  for (const TargetName &Name : Names->second) {
    TargetView &View = this->Targets.at(Name);
    if (this->isUsable(View)) {
      Result.push_back(&View);
    }
  }
  return Result;
}

TargetView *TargetTable::find(const TargetName &Name) {
  const auto Found = this->Targets.find(Name);
  return Found == this->Targets.end() ? nullptr : &Found->second;
}

void TargetTable::onProbe(const TargetName &Name, const ProbeReport &Report, TimePoint Now) {
  TargetView *View = this->find(Name);
  if (!View) {
    return;
  }
  View->FailedProbes = 0;
  View->AvoidUntil = TimePoint{};
  View->Healthy = Report.Healthy;
  View->ColdUntil = Now + Report.ColdFor;
  LoadReport Load = Report.Load;
  if (!Report.HasLoad) {
    Load.Running = View->InFlight;
    Load.Slots = View->Record.Slots;
  }
  this->onLoad(Name, Load, Now);
}

void TargetTable::onProbeFailed(const TargetName &Name, ProbeFailure Reason, TimePoint Now) {
  TargetView *View = this->find(Name);
  if (!View) {
    return;
  }
  View->Load.reset();
  const int Doublings = static_cast<int>(std::min<std::uint32_t>(View->FailedProbes, 8));
  const Duration Backoff = std::min(LongestAvoidance, FirstAvoidance * (1 << Doublings));
  View->AvoidUntil = Now + (Reason == ProbeFailure::OtherTarget ? LongestAvoidance : Backoff);
  ++View->FailedProbes;
}

void TargetTable::onLoad(const TargetName &Name, const LoadReport &Load, TimePoint Now) {
  if (TargetView *View = this->find(Name)) {
    View->Load = Load;
    View->LoadTime = Now;
    View->SentSinceLoad = 0;
  }
}

void TargetTable::onSent(const TargetName &Name) {
  if (TargetView *View = this->find(Name)) {
    ++View->InFlight;
    ++View->SentSinceLoad;
  }
}

void TargetTable::onAttemptEnd(const TargetName &Name, bool Failed, TimePoint Now) {
  TargetView *View = this->find(Name);
  if (!View) {
    return;
  }
  View->InFlight -= View->InFlight > 0 ? 1 : 0;
  if (Failed) {
    View->Failures = failures(*View, Now) + 1;
    View->FailuresTime = Now;
  }
}

double TargetTable::failures(const TargetView &View, TimePoint Now) {
  if (View.Failures <= 0) {
    return 0;
  }
  const double HalfLives = std::chrono::duration<double>(Now - View.FailuresTime).count() /
                           std::chrono::duration<double>(FailureHalfLife).count();
  return View.Failures * std::exp2(-HalfLives);
}

} // namespace anvilsaddle
