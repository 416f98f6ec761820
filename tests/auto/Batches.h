#pragma once

#include "state/Publication.h"

#include <utility>
#include <vector>

namespace anvilsaddle {

/// Creates a batch: a snapshot of all publications if `Complete` is set, otherwise a list of
/// changes.
inline PublicationBatch batch(bool IsSnapshot, std::vector<Publication> Changes,
                              std::int64_t Since = 0, std::int64_t Revision = 0,
                              std::int64_t Epoch = 0) {
  PublicationBatch Result;
  Result.IsSnapshot = IsSnapshot;
  Result.Since = Since;
  Result.Revision = Revision;
  Result.Changes = std::move(Changes);
  Result.Epoch = Epoch;
  Result.SinceEpoch = IsSnapshot ? 0 : Epoch;
  return Result;
}

} // namespace anvilsaddle
