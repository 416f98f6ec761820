#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Buffers lines for a file descriptor and writes them without blocking. Not thread-safe.
class LogBuffer {
public:
  /// Precondition: the descriptor stays open. `Capacity` is in bytes.
  explicit LogBuffer(int Descriptor, std::size_t Capacity = DefaultCapacity)
      : Descriptor(Descriptor), Capacity(Capacity) {}

  /// Appends a line, or drops and counts it if the buffer is full.
  void add(std::string_view Line);
  /// Writes as much as the descriptor accepts without blocking.
  void flush();
  /// Number of dropped lines.
  std::uint64_t dropped() const { return this->DroppedLines; }
  /// Number of buffered bytes.
  std::size_t size() const { return this->Buffer.size(); }

private:
  /// Room for several hundred lines. If the reader stops for longer, lines are dropped instead of
  /// using more memory.
  static constexpr std::size_t DefaultCapacity = std::size_t{128} * 1024;

  int Descriptor;
  std::size_t Capacity;
  std::string Buffer;
  std::uint64_t DroppedLines = 0;
};

} // namespace anvilsaddle
