#include "coordination/DispatchTypes.h"

namespace anvilsaddle {

const char *toString(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Answered:
    return "answered";
  case AttemptOutcome::TargetError:
    return "target_error";
  case AttemptOutcome::NotRun:
    return "not_run";
  case AttemptOutcome::NotSent:
    return "not_sent";
  case AttemptOutcome::Broken:
    return "broken";
  }
  return "unknown";
}

const char *toString(RefusalKind Kind) {
  switch (Kind) {
  case RefusalKind::NotRun:
    return "not_run";
  case RefusalKind::TimedOut:
    return "timed_out";
  case RefusalKind::TargetFailed:
    return "target_failed";
  }
  return "unknown";
}

} // namespace anvilsaddle
