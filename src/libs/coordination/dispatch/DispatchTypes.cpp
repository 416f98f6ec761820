#include "coordination/dispatch/DispatchTypes.h"

namespace anvilsaddle {

const char *toString(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Succeeded:
    return "answered";
  case AttemptOutcome::TargetError:
    return "target_error";
  case AttemptOutcome::NotExecuted:
    return "not_run";
  case AttemptOutcome::NotSent:
    return "not_sent";
  case AttemptOutcome::Interrupted:
    return "broken";
  }
  return "unknown";
}

const char *toString(HedgeObstacle Obstacle) {
  switch (Obstacle) {
  case HedgeObstacle::Queue:
    return "queue";
  case HedgeObstacle::HedgeBudget:
    return "hedge_budget";
  case HedgeObstacle::RetryBudget:
    return "retry_budget";
  case HedgeObstacle::NoTarget:
    return "no_target";
  }
  return "unknown";
}

const char *toString(RefusalKind Kind) {
  switch (Kind) {
  case RefusalKind::NotExecuted:
    return "not_run";
  case RefusalKind::TimedOut:
    return "timed_out";
  case RefusalKind::TargetFailed:
    return "target_failed";
  }
  return "unknown";
}

} // namespace anvilsaddle
