#pragma once

#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <string>

namespace anvilsaddle {

/// What the caller knows about the run of its request.
enum class RunKnowledge { Ran, NotRun, Unknown };

/// Final answer to one scheduled request. Value type.
struct CallOutcome {
  /// Index in Scenario::Kinds.
  std::size_t Kind = 0;
  /// HTTP status; 0 if there was no answer.
  unsigned Status = 0;
  RunKnowledge Run = RunKnowledge::Unknown;
  Duration Latency{0};
  /// How much later than due the tool sent the request.
  Duration Lateness{0};
  /// Sends after the first.
  unsigned Follows = 0;

  auto operator<=>(const CallOutcome &) const = default;
};

/// Judges an answer by its status and the value of Anvilsaddle-Outcome (empty if absent). An answer
/// without that header comes from a target, so the request ran.
RunKnowledge judgeAnswer(unsigned Status, const std::string &OutcomeHeader);

/// Start of the measured time. A late tool must not count as latency of the system: past the
/// tolerance of its timer, the time counts from the send.
Duration measuredFrom(Duration Due, Duration Sent);

const char *toString(RunKnowledge Run);

} // namespace anvilsaddle
