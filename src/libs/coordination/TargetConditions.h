#pragma once

#include <compare>
#include <optional>

namespace anvilsaddle {

/// What a target demands of all entries in its responses. It holds for this start of the target, as
/// long as the target repeats it. Value type.
struct TargetConditions {
  /// Requests per second that the target accepts from all entries together; not negative.
  std::optional<double> RequestLimit;

  auto operator<=>(const TargetConditions &) const = default;
};

} // namespace anvilsaddle
