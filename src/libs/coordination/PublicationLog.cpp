#include "coordination/PublicationLog.h"

namespace anvilsaddle {

bool PublicationLog::apply(const PublicationBatch &Batch) {
  if (Batch.Revision < this->Revision || (!Batch.IsSnapshot && Batch.Since > this->Revision)) {
    return false;
  }
  if (Batch.IsSnapshot) {
    this->Targets.clear();
    this->EvacuatedDomains.clear();
    this->Changes.clear();
    this->CompactedRevision = Batch.Revision;
  }
  for (const Publication &Each : Batch.Changes) {
    this->applyChange(Each);
    if (!Batch.IsSnapshot) {
      this->Changes.push_back({Batch.Revision, Each});
    }
  }
  this->Revision = Batch.Revision;
  while (this->Changes.size() > MaxRetainedChanges) {
    this->CompactedRevision = this->Changes.front().Revision;
    this->Changes.pop_front();
  }
  return true;
}

void PublicationLog::applyChange(const Publication &Change) {
  if (const auto *Newer = std::get_if<Configuration>(&Change)) {
    if (!this->CurrentConfiguration || this->CurrentConfiguration->Version < Newer->Version) {
      this->CurrentConfiguration = *Newer;
    }
  } else if (const auto *Registered = std::get_if<TargetRegistered>(&Change)) {
    this->Targets[Registered->Registration.Name] = Registered->Registration;
  } else if (const auto *Removed = std::get_if<TargetRemoved>(&Change)) {
    this->Targets.erase(Removed->Name);
  } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Change)) {
    if (Evacuation->Active) {
      this->EvacuatedDomains.insert(Evacuation->Domain);
    } else {
      this->EvacuatedDomains.erase(Evacuation->Domain);
    }
  }
}

PublicationBatch PublicationLog::batchSince(std::int64_t KnownRevision) const {
  PublicationBatch Result;
  Result.Revision = this->Revision;
  if (KnownRevision >= this->CompactedRevision && KnownRevision > 0) {
    Result.Since = KnownRevision;
    for (const RetainedChange &Each : this->Changes) {
      if (Each.Revision > KnownRevision) {
        Result.Changes.push_back(Each.Change);
      }
    }
    return Result;
  }
  Result.IsSnapshot = true;
  if (this->CurrentConfiguration) {
    Result.Changes.emplace_back(*this->CurrentConfiguration);
  }
  for (const auto &[Name, Value] : this->Targets) {
    Result.Changes.emplace_back(TargetRegistered{Value});
  }
  for (const FailureDomainName &Each : this->EvacuatedDomains) {
    Result.Changes.emplace_back(DomainEvacuation{Each, true});
  }
  return Result;
}

} // namespace anvilsaddle
