#include "AllocationCounter.h"

#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

std::int64_t Bytes = 0;
std::int64_t Allocations = 0;

void release(void *Memory) noexcept {
  if (Memory) {
    Bytes -= static_cast<std::int64_t>(malloc_usable_size(Memory));
    --Allocations;
    std::free(Memory);
  }
}

} // namespace

namespace anvilsaddle {
std::int64_t liveBytes() { return Bytes; }
std::int64_t liveAllocations() { return Allocations; }
} // namespace anvilsaddle

void *operator new(std::size_t Size) {
  void *Memory = std::malloc(Size);
  if (!Memory) {
    throw std::bad_alloc();
  }
  Bytes += static_cast<std::int64_t>(malloc_usable_size(Memory));
  ++Allocations;
  return Memory;
}

void operator delete(void *Memory) noexcept { release(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { release(Memory); }
