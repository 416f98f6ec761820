#pragma once

#include <cstddef>

namespace anvilsaddle {

/// Lets larger allocations of the program fail until the end of this object. Linking it replaces
/// the operators new and delete. Not thread-safe.
class AllocationLimit {
public:
  explicit AllocationLimit(std::size_t MaxBytes);
  ~AllocationLimit();
  AllocationLimit(const AllocationLimit &) = delete;
  AllocationLimit &operator=(const AllocationLimit &) = delete;
};

} // namespace anvilsaddle
