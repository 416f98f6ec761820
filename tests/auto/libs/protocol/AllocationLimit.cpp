#include "AllocationLimit.h"

#include <cstdlib>
#include <limits>
#include <new>

namespace {

constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();
std::size_t MaxAllocationBytes = Unlimited;

} // namespace

anvilsaddle::AllocationLimit::AllocationLimit(std::size_t MaxBytes) {
  MaxAllocationBytes = MaxBytes;
}

anvilsaddle::AllocationLimit::~AllocationLimit() { MaxAllocationBytes = Unlimited; }

void *operator new(std::size_t Bytes) {
  void *Result = Bytes > MaxAllocationBytes ? nullptr : std::malloc(Bytes);
  if (!Result) {
    throw std::bad_alloc();
  }
  return Result;
}

void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }
