#include "coordination/PublicationLog.h"

namespace anvilsaddle {

bool PublicationLog::apply(const PublicationBatch &Batch) {
  if (Batch.Revision < this->Revision || (!Batch.IsSnapshot && Batch.Since > this->Revision)) {
    return false;
  }
  if (Batch.IsSnapshot) {
    this->Targets.clear();
    this->Evacuated.clear();
    this->Changes.clear();
    this->KeptSince = Batch.Revision;
  }
  for (const Publication &Each : Batch.Changes) {
    this->take(Each);
    if (!Batch.IsSnapshot) {
      this->Changes.push_back({Batch.Revision, Each});
    }
  }
  this->Revision = Batch.Revision;
  while (this->Changes.size() > MaxRetainedChanges) {
    this->KeptSince = this->Changes.front().Revision;
    this->Changes.pop_front();
  }
  return true;
}

void PublicationLog::take(const Publication &Change) {
  if (const auto *Newer = std::get_if<Configuration>(&Change)) {
    if (!this->Settings || this->Settings->Version < Newer->Version) {
      this->Settings = *Newer;
    }
  } else if (const auto *Registered = std::get_if<TargetRegistered>(&Change)) {
    this->Targets[Registered->Registration.Name] = Registered->Registration;
  } else if (const auto *Removed = std::get_if<TargetRemoved>(&Change)) {
    this->Targets.erase(Removed->Name);
  } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Change)) {
    if (Evacuation->Active) {
      this->Evacuated.insert(Evacuation->Domain);
    } else {
      this->Evacuated.erase(Evacuation->Domain);
    }
  }
}

PublicationBatch PublicationLog::batchSince(std::int64_t Known) const {
  PublicationBatch Result;
  Result.Revision = this->Revision;
  if (Known >= this->KeptSince && Known > 0) {
    Result.Since = Known;
    for (const Kept &Each : this->Changes) {
      if (Each.Revision > Known) {
        Result.Changes.push_back(Each.Change);
      }
    }
    return Result;
  }
  Result.IsSnapshot = true;
  if (this->Settings) {
    Result.Changes.emplace_back(*this->Settings);
  }
  for (const auto &[Name, Value] : this->Targets) {
    Result.Changes.emplace_back(TargetRegistered{Value});
  }
  for (const FailureDomainName &Each : this->Evacuated) {
    Result.Changes.emplace_back(DomainEvacuation{Each, true});
  }
  return Result;
}

} // namespace anvilsaddle
