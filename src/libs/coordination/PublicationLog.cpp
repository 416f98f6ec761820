#include "coordination/PublicationLog.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace anvilsaddle {

bool PublicationLog::isAcceptable(const PublicationBatch &Batch) const {
  if (Batch.position() < this->Position) {
    return false;
  }
  const bool IsSameEpoch = Batch.Epoch == this->Position.Epoch;
  return Batch.IsSnapshot || (IsSameEpoch && Batch.Since <= this->Position.Revision);
}

bool PublicationLog::isRestoredBy(const PublicationBatch &Batch) const {
  return Batch.IsSnapshot && this->Position.isValid() && Batch.Epoch > this->Position.Epoch;
}

bool PublicationLog::apply(const PublicationBatch &Batch) {
  if (!this->isAcceptable(Batch)) {
    return false;
  }
  if (Batch.IsSnapshot) {
    if (Batch.Epoch > this->Position.Epoch || !this->Position.isValid()) {
      this->startEpoch(Batch);
    } else {
      this->addGap({this->Position.Revision, Batch.Revision});
      this->removeUnlisted(Batch);
    }
  }
  for (const RevisionGap &Each : Batch.Gaps) {
    this->addGap(Each);
  }
  for (const Publication &Each : Batch.Changes) {
    if (!Batch.IsSnapshot || !this->isKnown(Each)) {
      this->applyChange(Each, Batch.Revision);
    }
  }
  this->Position = Batch.position();
  this->dropOldRemovals();
  return true;
}

void PublicationLog::startEpoch(const PublicationBatch &Snapshot) {
  this->CompactedRevision = Snapshot.Revision;
  this->Gaps.clear();
  this->Targets.clear();
  this->RemovedTargets.clear();
  this->Evacuations.clear();
  if (this->CurrentConfiguration) {
    this->CurrentConfiguration->ChangedAt = Snapshot.Revision;
  }
}

void PublicationLog::addGap(const RevisionGap &Added) {
  const bool HasInside = Added.isInside(Added.First + 1);
  if (!HasInside || std::find(this->Gaps.begin(), this->Gaps.end(), Added) != this->Gaps.end()) {
    return;
  }
  this->Gaps.push_back(Added);
  if (this->Gaps.size() > MaxRetainedGaps) {
    this->CompactedRevision = std::max(this->CompactedRevision, this->Gaps.front().Last);
    this->Gaps.pop_front();
  }
}

bool PublicationLog::isInGap(std::int64_t KnownRevision) const {
  return std::any_of(
      this->Gaps.begin(), this->Gaps.end(),
      [KnownRevision](const RevisionGap &Each) { return Each.isInside(KnownRevision); });
}

bool PublicationLog::isKnown(const Publication &Change) const {
  if (const auto *Registered = std::get_if<TargetRegistered>(&Change)) {
    const auto Known = this->Targets.find(Registered->Registration.Name);
    return Known != this->Targets.end() && Known->second.Value == Registered->Registration;
  }
  if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Change)) {
    const auto Known = this->Evacuations.find(Evacuation->Domain);
    return Known != this->Evacuations.end() && Known->second.Value == Evacuation->Active;
  }
  return false;
}

void PublicationLog::removeUnlisted(const PublicationBatch &Snapshot) {
  std::set<TargetName> ListedTargets;
  std::set<FailureDomainName> ListedDomains;
  for (const Publication &Each : Snapshot.Changes) {
    if (const auto *Registered = std::get_if<TargetRegistered>(&Each)) {
      ListedTargets.insert(Registered->Registration.Name);
    } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Each)) {
      ListedDomains.insert(Evacuation->Domain);
    }
  }
  std::erase_if(this->Targets, [&](const auto &Each) {
    const bool IsRemoved = !ListedTargets.contains(Each.first);
    if (IsRemoved) {
      this->RemovedTargets[Each.first] = Snapshot.Revision;
    }
    return IsRemoved;
  });
  for (auto &[Domain, Each] : this->Evacuations) {
    if (Each.Value && !ListedDomains.contains(Domain)) {
      Each = {Snapshot.Revision, false};
    }
  }
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

PublicationBatch PublicationLog::batchSince(const SourcePosition &Known) const {
  PublicationBatch Result;
  Result.Epoch = this->Position.Epoch;
  Result.Revision = this->Position.Revision;
  Result.IsSnapshot = !Known.isValid() || Known.Epoch != this->Position.Epoch ||
                      Known.Revision < this->CompactedRevision || this->isInGap(Known.Revision);
  Result.Since = Result.IsSnapshot ? 0 : Known.Revision;
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
  std::copy_if(this->Gaps.begin(), this->Gaps.end(), std::back_inserter(Result.Gaps),
               [&Known](const RevisionGap &Each) { return Each.Last > Known.Revision; });
  for (const auto &[Name, RemovedAt] : this->RemovedTargets) {
    if (RemovedAt > Result.Since) {
      Result.Changes.emplace_back(TargetRemoved{Name});
    }
  }
  return Result;
}

} // namespace anvilsaddle
