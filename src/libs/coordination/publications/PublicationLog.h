#pragma once

#include "state/Publication.h"
#include "state/SourcePosition.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace anvilsaddle {

/// Current state of all publications that this entry knows, with the position at which each of them
/// changed last, for entries that fetch the changes. A superseded change is not kept: an entry that
/// is behind gets at most the current state, however many changes it missed. A snapshot that
/// follows other publications counts as the changes that it makes to them.
///
/// The snapshot with which a newer epoch of the source starts counts as changes too, so that not
/// all entries of a region fetch everything at once. The log then holds what the source holds,
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
  /// True if the batch leads to a newer epoch than the one known before.
  bool isRestoredBy(const PublicationBatch &Batch) const;
  /// Returns the changes after a position without superseded ones, or a snapshot if the log
  /// has not all changes since then.
  PublicationBatch batchSince(const SourcePosition &Known) const;

private:
  template <typename ValueType> struct Revised {
    SourcePosition ChangedAt;
    ValueType Value;
  };

  void addGap(const PublicationGap &Added);
  bool isAcceptable(const PublicationBatch &Batch) const;
  /// True if applying the change would change nothing.
  bool isKnown(const Publication &Change) const;
  void applyChange(const Publication &Change, const SourcePosition &ChangedAt);
  /// Removes the targets and ends the evacuations that a snapshot doesn't list.
  void removeUnlisted(const PublicationBatch &Snapshot);
  void dropOldRemovals();

  SourcePosition Position;
  /// Removals up to this position are not complete.
  SourcePosition CompactedPosition;
  /// From snapshots that followed other publications, here or at the entries from which this one
  /// fetched. An entry whose position is inside a gap gets a snapshot.
  std::deque<PublicationGap> Gaps;
  std::optional<Revised<Configuration>> CurrentConfiguration;
  std::map<TargetName, Revised<Target>> Targets;
  std::map<TargetName, SourcePosition> RemovedTargets;
  /// True for failure domains that are evacuated, false for those returned to service.
  std::map<FailureDomainName, Revised<bool>> Evacuations;
};

} // namespace anvilsaddle
