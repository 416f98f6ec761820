#pragma once

#include "transport/Clock.h"

namespace anvilsaddle {

/// GLib's monotonic and real-time clocks. Thread-safe.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  std::int64_t unixMilliseconds() const override;
};

} // namespace anvilsaddle
