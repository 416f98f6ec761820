#include "coordination/PublicationLog.h"

#include <algorithm>

namespace anvilsaddle {

bool PublicationLog::apply(const PublicationBatch &Batch) {
  if (Batch.Revision < this->Revision || (!Batch.IsSnapshot && Batch.Since > this->Revision)) {
    return false;
  }
  if (Batch.IsSnapshot) {
    this->Targets.clear();
    this->RemovedTargets.clear();
    this->Evacuations.clear();
    this->CompactedRevision = Batch.Revision;
  }
  for (const Publication &Each : Batch.Changes) {
    this->applyChange(Each, Batch.Revision);
  }
  this->Revision = Batch.Revision;
  this->dropOldRemovals();
  return true;
}

void PublicationLog::applyChange(const Publication &Change, std::int64_t ChangedAt) {
  if (const auto *Newer = std::get_if<Configuration>(&Change)) {
    if (!this->CurrentConfiguration || this->CurrentConfiguration->Value.Version < Newer->Version) {
      this->CurrentConfiguration = {ChangedAt, *Newer};
    }
  } else if (const auto *Registered = std::get_if<TargetRegistered>(&Change)) {
    this->RemovedTargets.erase(Registered->Registration.Name);
    this->Targets[Registered->Registration.Name] = {ChangedAt, Registered->Registration};
  } else if (const auto *Removed = std::get_if<TargetRemoved>(&Change)) {
    this->Targets.erase(Removed->Name);
    this->RemovedTargets[Removed->Name] = ChangedAt;
  } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Change)) {
    this->Evacuations[Evacuation->Domain] = {ChangedAt, Evacuation->Active};
  }
}

void PublicationLog::dropOldRemovals() {
  while (this->RemovedTargets.size() > MaxRetainedRemovals) {
    const auto Oldest = std::min_element(
        this->RemovedTargets.begin(), this->RemovedTargets.end(),
        [](const auto &Left, const auto &Right) { return Left.second < Right.second; });
    this->CompactedRevision = std::max(this->CompactedRevision, Oldest->second);
    this->RemovedTargets.erase(Oldest);
  }
}

PublicationBatch PublicationLog::batchSince(std::int64_t KnownRevision) const {
  PublicationBatch Result;
  Result.Revision = this->Revision;
  Result.IsSnapshot = KnownRevision < this->CompactedRevision || KnownRevision <= 0;
  Result.Since = Result.IsSnapshot ? 0 : KnownRevision;
  if (this->CurrentConfiguration && this->CurrentConfiguration->ChangedAt > Result.Since) {
    Result.Changes.emplace_back(this->CurrentConfiguration->Value);
  }
  for (const auto &[Name, Each] : this->Targets) {
    if (Each.ChangedAt > Result.Since) {
      Result.Changes.emplace_back(TargetRegistered{Each.Value});
    }
  }
  for (const auto &[Domain, Each] : this->Evacuations) {
    if (Each.ChangedAt > Result.Since && (Each.Value || !Result.IsSnapshot)) {
      Result.Changes.emplace_back(DomainEvacuation{Domain, Each.Value});
    }
  }
  if (Result.IsSnapshot) {
    return Result;
  }
  for (const auto &[Name, RemovedAt] : this->RemovedTargets) {
    if (RemovedAt > Result.Since) {
      Result.Changes.emplace_back(TargetRemoved{Name});
    }
  }
  return Result;
}

} // namespace anvilsaddle
