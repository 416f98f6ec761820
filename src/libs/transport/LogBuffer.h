#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Lines that wait for a descriptor that must not block. Not thread-safe.
class LogBuffer {
public:
  /// Precondition: the descriptor stays open.
  explicit LogBuffer(int Descriptor, std::size_t Capacity = DefaultCapacity)
      : Descriptor(Descriptor), Capacity(Capacity) {}

  /// Adds a line, or drops it if the buffer is full.
  void add(std::string_view Line);
  /// Writes as much as the descriptor takes without blocking.
  void flush();
  std::uint64_t dropped() const { return this->Dropped; }
  std::size_t size() const { return this->Waiting.size(); }

private:
  /// Some hundred lines: a reader that stops for longer loses lines rather than memory.
  static constexpr std::size_t DefaultCapacity = std::size_t{128} * 1024;

  int Descriptor;
  std::size_t Capacity;
  std::string Waiting;
  std::uint64_t Dropped = 0;
};

} // namespace anvilsaddle
