#include "coordination/publications/PublicationLog.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace anvilsaddle {

namespace {

template <typename GapList> bool isInGap(const GapList &Gaps, const SourcePosition &Position) {
  return std::any_of(Gaps.begin(), Gaps.end(),
                     [&Position](const PublicationGap &Each) { return Each.isInside(Position); });
}

} // namespace

bool PublicationLog::isAcceptable(const PublicationBatch &Batch) const {
  if (Batch.position() < this->Position) {
    return false;
  }
  return Batch.IsSnapshot ||
         (Batch.since() <= this->Position && !isInGap(Batch.Gaps, this->Position));
}

bool PublicationLog::isRestoredBy(const PublicationBatch &Batch) const {
  return this->Position.isValid() && Batch.Epoch > this->Position.Epoch;
}

bool PublicationLog::apply(const PublicationBatch &Batch) {
  if (!this->isAcceptable(Batch)) {
    return false;
  }
  if (Batch.IsSnapshot && !this->Position.isValid()) {
    this->CompactedPosition = Batch.position();
  } else if (Batch.IsSnapshot) {
    this->addGap({this->Position, Batch.position()});
    this->removeUnlisted(Batch);
  }
  for (const PublicationGap &Each : Batch.Gaps) {
    this->addGap(Each);
  }
  for (const Publication &Each : Batch.Changes) {
    if (!Batch.IsSnapshot || !this->isKnown(Each)) {
      this->applyChange(Each, Batch.position());
    }
  }
  this->Position = Batch.position();
  this->dropOldRemovals();
  return true;
}

void PublicationLog::addGap(const PublicationGap &Added) {
  if (Added.isEmpty() ||
      std::find(this->Gaps.begin(), this->Gaps.end(), Added) != this->Gaps.end()) {
    return;
  }
  this->Gaps.push_back(Added);
  if (this->Gaps.size() > MaxRetainedGaps) {
    this->CompactedPosition = std::max(this->CompactedPosition, this->Gaps.front().Last);
    this->Gaps.pop_front();
  }
}

bool PublicationLog::isKnown(const Publication &Change) const {
  if (const auto *Listed = std::get_if<Configuration>(&Change)) {
    return this->CurrentConfiguration &&
           this->CurrentConfiguration->Value.Version == Listed->Version;
  }
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
      this->RemovedTargets[Each.first] = Snapshot.position();
    }
    return IsRemoved;
  });
  for (auto &[Domain, Each] : this->Evacuations) {
    if (Each.Value && !ListedDomains.contains(Domain)) {
      Each = {Snapshot.position(), false};
    }
  }
}

void PublicationLog::applyChange(const Publication &Change, const SourcePosition &ChangedAt) {
  if (const auto *Newer = std::get_if<Configuration>(&Change)) {
    if (!this->CurrentConfiguration || this->CurrentConfiguration->Value.Version < Newer->Version) {
      this->CurrentConfiguration = {ChangedAt, *Newer};
    } else if (this->CurrentConfiguration->Value.Version == Newer->Version) {
      // An entry that has read the source only since it returned from an older copy lacks the
      // version that was written again.
      this->CurrentConfiguration->ChangedAt = ChangedAt;
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
    this->CompactedPosition = std::max(this->CompactedPosition, Oldest->second);
    this->RemovedTargets.erase(Oldest);
  }
}

PublicationBatch PublicationLog::batchSince(const SourcePosition &Known) const {
  PublicationBatch Result;
  Result.Epoch = this->Position.Epoch;
  Result.Revision = this->Position.Revision;
  Result.IsSnapshot =
      !Known.isValid() || Known < this->CompactedPosition || isInGap(this->Gaps, Known);
  const SourcePosition Since = Result.IsSnapshot ? SourcePosition() : Known;
  Result.Since = Since.Revision;
  Result.SinceEpoch = Since.Epoch;
  if (this->CurrentConfiguration && this->CurrentConfiguration->ChangedAt > Since) {
    Result.Changes.emplace_back(this->CurrentConfiguration->Value);
  }
  for (const auto &[Name, Each] : this->Targets) {
    if (Each.ChangedAt > Since) {
      Result.Changes.emplace_back(TargetRegistered{Each.Value});
    }
  }
  for (const auto &[Domain, Each] : this->Evacuations) {
    if (Each.ChangedAt > Since && (Each.Value || !Result.IsSnapshot)) {
      Result.Changes.emplace_back(DomainEvacuation{Domain, Each.Value});
    }
  }
  if (Result.IsSnapshot) {
    return Result;
  }
  std::copy_if(this->Gaps.begin(), this->Gaps.end(), std::back_inserter(Result.Gaps),
               [&Known](const PublicationGap &Each) { return Each.Last > Known; });
  for (const auto &[Name, RemovedAt] : this->RemovedTargets) {
    if (RemovedAt > Known) {
      Result.Changes.emplace_back(TargetRemoved{Name});
    }
  }
  return Result;
}

} // namespace anvilsaddle
