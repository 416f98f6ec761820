#include "coordination/Refusal.h"

#include <utility>

namespace anvilsaddle {

Refusal makeRefusal(int Status, RunOutcome Outcome, std::string Reason) {
  Refusal Result;
  Result.Status = Status;
  Result.Outcome = Outcome;
  Result.Reason = std::move(Reason);
  return Result;
}

} // namespace anvilsaddle
