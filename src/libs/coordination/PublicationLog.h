#pragma once

#include "state/Publication.h"
#include "state/SourcePosition.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace anvilsaddle {

/// Current state of all publications that this entry knows, with the revision at which each of them
/// changed last, for entries that fetch the changes. A superseded change is not kept: an entry that
/// is behind gets at most the current state, however many changes it missed. A snapshot that
/// follows other publications counts as the changes that it makes to them.
///
/// A newer epoch of the source starts with a snapshot. The log then holds what the source holds,
/// which may be older than before, except that the configuration never returns to an older version.
/// Not thread-safe.
class PublicationLog {
public:
  /// Number of removals that are remembered. An entry that lacks older ones gets a snapshot.
  static constexpr std::size_t MaxRetainedRemovals = 512;
  /// Number of gaps that are remembered. An entry whose revision is before those gets a snapshot.
  static constexpr std::size_t MaxRetainedGaps = 32;

  /// Applies a batch. Returns false and changes nothing if changes before the batch are missing or
  /// if the batch is older than the log.
  bool apply(const PublicationBatch &Batch);
  /// Position up to which all publications are known; not valid if none are.
  const SourcePosition &position() const { return this->Position; }
  /// True if the batch is a snapshot of a newer epoch than the one known before.
  bool isRestoredBy(const PublicationBatch &Batch) const;
  /// Returns the changes after a position without superseded ones, or a snapshot if the position is
  /// of another epoch or removals since then are no longer known.
  PublicationBatch batchSince(const SourcePosition &Known) const;

private:
  template <typename ValueType> struct Revised {
    std::int64_t ChangedAt = 0;
    ValueType Value;
  };

  void addGap(const RevisionGap &Added);
  bool isInGap(std::int64_t KnownRevision) const;
  bool isAcceptable(const PublicationBatch &Batch) const;
  /// Forgets everything of the previous epoch but the configuration.
  void startEpoch(const PublicationBatch &Snapshot);
  /// True if applying the change would change nothing.
  bool isKnown(const Publication &Change) const;
  void applyChange(const Publication &Change, std::int64_t ChangedAt);
  /// Removes the targets and ends the evacuations that a snapshot doesn't list.
  void removeUnlisted(const PublicationBatch &Snapshot);
  void dropOldRemovals();

  SourcePosition Position;
  /// Removals up to this revision of the current epoch are not complete.
  std::int64_t CompactedRevision = 0;
  /// From snapshots that followed other publications, here or at the entries from which this one
  /// fetched. An entry whose revision is inside a gap gets a snapshot.
  std::deque<RevisionGap> Gaps;
  std::optional<Revised<Configuration>> CurrentConfiguration;
  std::map<TargetName, Revised<Target>> Targets;
  std::map<TargetName, std::int64_t> RemovedTargets;
  /// True for failure domains that are evacuated, false for those returned to service.
  std::map<FailureDomainName, Revised<bool>> Evacuations;
};

} // namespace anvilsaddle
