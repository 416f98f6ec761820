#include "coordination/PublicationLog.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace anvilsaddle {

bool PublicationLog::apply(const PublicationBatch &Batch) {
  if (Batch.Revision < this->Revision || (!Batch.IsSnapshot && Batch.Since > this->Revision)) {
    return false;
  }
  if (Batch.IsSnapshot && this->Revision == 0) {
    this->CompactedRevision = Batch.Revision;
  } else if (Batch.IsSnapshot) {
    this->addGap({this->Revision, Batch.Revision});
    this->removeUnlisted(Batch);
  }
  for (const RevisionGap &Each : Batch.Gaps) {
    this->addGap(Each);
  }
  for (const Publication &Each : Batch.Changes) {
    if (!Batch.IsSnapshot || !this->isKnown(Each)) {
      this->applyChange(Each, Batch.Revision);
    }
  }
  this->Revision = Batch.Revision;
  this->dropOldRemovals();
  return true;
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

PublicationBatch PublicationLog::batchSince(std::int64_t KnownRevision) const {
  PublicationBatch Result;
  Result.Revision = this->Revision;
  Result.IsSnapshot =
      KnownRevision <= 0 || KnownRevision < this->CompactedRevision || this->isInGap(KnownRevision);
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
  std::copy_if(this->Gaps.begin(), this->Gaps.end(), std::back_inserter(Result.Gaps),
               [KnownRevision](const RevisionGap &Each) { return Each.Last > KnownRevision; });
  for (const auto &[Name, RemovedAt] : this->RemovedTargets) {
    if (RemovedAt > Result.Since) {
      Result.Changes.emplace_back(TargetRemoved{Name});
    }
  }
  return Result;
}

} // namespace anvilsaddle
