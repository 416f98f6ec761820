#pragma once

#include "state/Time.h"

#include <compare>

namespace anvilsaddle {

/// Times of the phases of a graceful shutdown. Until serveUntil() the entry takes requests as
/// usual, then it refuses new ones; at finalResponseTime() all requests in progress get their final
/// response, and at endTime() the process ends at the latest. Immutable value type; thread-safe.
class ShutdownSchedule {
public:
  /// The process is killed when the grace period is over. Precondition: the grace period is
  /// positive.
  ShutdownSchedule(TimePoint Start, Duration GracePeriod);

  TimePoint serveUntil() const { return this->ServeUntil; }
  TimePoint finalResponseTime() const { return this->FinalResponseTime; }
  TimePoint endTime() const { return this->EndTime; }

  auto operator<=>(const ShutdownSchedule &) const = default;

private:
  TimePoint ServeUntil;
  TimePoint FinalResponseTime;
  TimePoint EndTime;
};

} // namespace anvilsaddle
