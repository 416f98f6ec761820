#pragma once

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// Position in the history of the source of publications. The epoch increases when the source
/// returns from an older copy of its data; the revisions after the copy are then assigned again, so
/// only revisions of the same epoch can be compared. Value type.
struct SourcePosition {
  /// 0 if the source does not number its epochs.
  std::int64_t Epoch = 0;
  std::int64_t Revision = 0;

  /// False if nothing of the source is known.
  bool isValid() const { return this->Revision > 0; }

  auto operator<=>(const SourcePosition &) const = default;
};

} // namespace anvilsaddle
