#pragma once

#include "state/Publication.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace anvilsaddle {

/// All that is published, as far as this entry knows, and the latest changes for other entries. Not
/// thread-safe.
class PublicationLog {
public:
  /// Changes that are kept; an entry that is further behind gets everything.
  static constexpr std::size_t MaxRetainedChanges = 512;

  /// Takes over a batch. False, and nothing changed, if changes before it are missing or it holds
  /// nothing new.
  bool apply(const PublicationBatch &Batch);
  /// All that was published up to this revision is known; 0 if nothing is.
  std::int64_t revision() const { return this->Revision; }
  /// The changes after a revision, or everything if they are no longer kept.
  PublicationBatch batchSince(std::int64_t Known) const;

private:
  struct Kept {
    std::int64_t Revision = 0;
    Publication Change;
  };

  void take(const Publication &Change);

  std::int64_t Revision = 0;
  /// Changes after this revision are kept.
  std::int64_t KeptSince = 0;
  std::deque<Kept> Changes;
  std::optional<Configuration> Settings;
  std::map<TargetName, Target> Targets;
  std::set<FailureDomainName> Evacuated;
};

} // namespace anvilsaddle
