#pragma once

#include "transport/Clock.h"

namespace anvilsaddle {

/// The system's clocks. now() also counts the time for which the VM was suspended, so that old
/// knowledge looks old after it. Thread-safe.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  std::int64_t unixMilliseconds() const override;
};

} // namespace anvilsaddle
