#pragma once

#include <cstdint>

namespace anvilsaddle {

/// Bytes that operator new has handed out and that are not yet deleted, as malloc rounds them.
/// Holds only in programs that link AllocationCounter.cpp, which replaces operator new and delete.
std::int64_t liveBytes();
std::int64_t liveAllocations();

} // namespace anvilsaddle
