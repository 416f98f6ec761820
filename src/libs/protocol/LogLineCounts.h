#pragma once

#include <compare>
#include <cstdint>

namespace anvilsaddle {

/// How much a log line matters when the log must drop lines.
enum class LogImportance {
  /// Tells about a single request, probe or target. Many are written each second.
  Detail,
  /// Tells that the state of the entry has changed, or warns.
  State
};

/// Numbers of log lines by importance. Value type.
struct LogLineCounts {
  std::uint64_t Detail = 0;
  std::uint64_t State = 0;

  void add(LogImportance Importance) {
    ++(Importance == LogImportance::State ? this->State : this->Detail);
  }
  std::uint64_t total() const { return this->Detail + this->State; }

  LogLineCounts operator-(const LogLineCounts &Other) const {
    return {this->Detail - Other.Detail, this->State - Other.State};
  }
  auto operator<=>(const LogLineCounts &) const = default;
};

} // namespace anvilsaddle
