#include "protocol/UnansweredRequest.h"

namespace anvilsaddle {

const char *toString(CloseReason Reason) {
  static constexpr std::array<const char *, CloseReasonCount> Names = {
      "caller_closed",    "read_failed",  "write_failed",       "idle_timeout",
      "connection_limit", "shutdown",     "truncated_response", "last_response",
      "output_not_taken", "input_refused"};
  return Names.at(static_cast<std::size_t>(Reason));
}

const char *toString(RequestStage Stage) {
  static constexpr std::array<const char *, RequestStageCount> Names = {
      "unread", "incomplete", "unprocessed", "in_progress", "unsent"};
  return Names.at(static_cast<std::size_t>(Stage));
}

UnansweredCounts &UnansweredCounts::operator+=(const UnansweredCounts &Other) {
  for (std::size_t Reason = 0; Reason < CloseReasonCount; ++Reason) {
    for (std::size_t Stage = 0; Stage < RequestStageCount; ++Stage) {
      this->Counts.at(Reason).at(Stage) += Other.Counts.at(Reason).at(Stage);
    }
  }
  return *this;
}

} // namespace anvilsaddle
