#pragma once

#include "state/Publication.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace anvilsaddle {

/// Current state of all publications that this entry knows, and the latest changes for entries that
/// fetch them. Not thread-safe.
class PublicationLog {
public:
  /// Number of changes that are retained. An entry that lacks older ones gets a snapshot.
  static constexpr std::size_t MaxRetainedChanges = 512;

  /// Applies a batch. Returns false and changes nothing if changes before the batch are missing or
  /// if the batch is older than the log.
  bool apply(const PublicationBatch &Batch);
  /// Revision up to which all publications are known; 0 if none are.
  std::int64_t revision() const { return this->Revision; }
  /// Returns the changes after a revision, or a snapshot if they are no longer retained.
  PublicationBatch batchSince(std::int64_t KnownRevision) const;

private:
  struct RetainedChange {
    std::int64_t Revision = 0;
    Publication Change;
  };

  void applyChange(const Publication &Change);

  std::int64_t Revision = 0;
  /// Changes up to this revision are discarded; later ones are retained.
  std::int64_t CompactedRevision = 0;
  std::deque<RetainedChange> Changes;
  std::optional<Configuration> CurrentConfiguration;
  std::map<TargetName, Target> Targets;
  std::set<FailureDomainName> EvacuatedDomains;
};

} // namespace anvilsaddle
