#pragma once

#include "state/Time.h"

#include <compare>
#include <string>
#include <vector>

namespace anvilsaddle {

enum class RunOutcome {
  /// The request did not run and will not run later.
  NotRun,
  /// The request may have run or may still be running.
  Unknown,
};

/// Answer of the system itself in place of a target's answer.
struct Refusal {
  /// HTTP status code.
  int Status = 503;
  RunOutcome Outcome = RunOutcome::NotRun;
  /// Short reason for the caller; holds no request content.
  std::string Reason;
  /// `address:port` of other entries worth trying, best first.
  std::vector<std::string> Entries;
  /// Zero if the caller need not wait.
  Duration RetryAfter{0};
  /// Ticket for idempotency keys; empty if none is offered.
  std::string Ticket;

  auto operator<=>(const Refusal &) const = default;
};

/// A refusal without addresses, ticket or waiting time.
Refusal makeRefusal(int Status, RunOutcome Outcome, std::string Reason);

} // namespace anvilsaddle
