#pragma once

#include "transport/Clock.h"

namespace anvilsaddle {

/// The system clocks. now() includes the time for which the VM was suspended, so that information
/// from before a suspension counts as stale afterwards. Thread-safe.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  std::int64_t unixMilliseconds() const override;
};

} // namespace anvilsaddle
