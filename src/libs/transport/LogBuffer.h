#pragma once

#include "protocol/LogLineCounts.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Buffers lines for a file descriptor and writes them without blocking. A part of the buffer is
/// reserved for lines about the state of the entry, so that a flood of lines about single requests
/// does not displace them. Not thread-safe.
class LogBuffer {
public:
  /// Precondition: the descriptor stays open. `Capacity` is in bytes.
  explicit LogBuffer(int Descriptor, std::size_t Capacity = DefaultCapacity)
      : Descriptor(Descriptor), Capacity(Capacity) {}

  /// Appends a line, or drops and counts it if the buffer has no room for lines of its importance.
  void add(std::string_view Line, LogImportance Importance);
  /// Writes as much as the descriptor accepts without blocking.
  void flush();
  /// Numbers of lines dropped so far.
  const LogLineCounts &dropped() const { return this->DroppedLines; }
  /// Returns how many lines were dropped since the last call that returned something; nothing if
  /// none were, or while the buffer has no room for lines of importance `Detail`.
  std::optional<LogLineCounts> takeGap();
  /// Number of buffered bytes.
  std::size_t size() const { return this->Buffer.size(); }

private:
  /// Room for several hundred lines. If the reader stops for longer, lines are dropped instead of
  /// using more memory.
  static constexpr std::size_t DefaultCapacity = std::size_t{128} * 1024;

  /// The reciprocal of the part of the buffer that only lines of importance `State` may use.
  static constexpr std::size_t StateShareDivisor = 4;

  /// Number of bytes up to which lines of an importance are accepted.
  std::size_t capacityFor(LogImportance Importance) const;

  int Descriptor;
  std::size_t Capacity;
  std::string Buffer;
  LogLineCounts DroppedLines;
  /// The part of the dropped lines that takeGap() has returned.
  LogLineCounts ReportedLines;
};

} // namespace anvilsaddle
