#include "loadtool/CallOutcome.h"

namespace anvilsaddle {

namespace {
/// Wakeups by timerfd on an idle machine come within about 100 microseconds.
constexpr Duration TimerTolerance = std::chrono::microseconds(200);
} // namespace

RunKnowledge judgeAnswer(unsigned Status, const std::string &OutcomeHeader) {
  if (OutcomeHeader == "not-run") {
    return RunKnowledge::NotRun;
  }
  return Status == 0 || !OutcomeHeader.empty() ? RunKnowledge::Unknown : RunKnowledge::Ran;
}

Duration measuredFrom(Duration Due, Duration Sent) {
  return Sent - Due > TimerTolerance ? Sent : Due;
}

const char *toString(RunKnowledge Run) {
  switch (Run) {
  case RunKnowledge::Ran:
    return "ran";
  case RunKnowledge::NotRun:
    return "not-run";
  case RunKnowledge::Unknown:
    break;
  }
  return "unknown";
}

} // namespace anvilsaddle
