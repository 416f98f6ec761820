#pragma once

#include <compare>
#include <optional>

namespace anvilsaddle {

/// What a target demands of all entries in its responses. It holds for this start of the target.
/// Value type.
struct TargetConditions {
  /// Requests per second that the target accepts from all entries together; not negative. It holds
  /// as long as the target repeats it.
  std::optional<double> RequestLimit;
  /// The target will exit and accepts no new requests. It can't take this back.
  bool IsLeaving = false;

  auto operator<=>(const TargetConditions &) const = default;
};

} // namespace anvilsaddle
