#pragma once

#include "coordination/DispatchPolicy.h"

#include <variant>

namespace anvilsaddle {

/// Whether a further attempt can have a different result.
enum class FailureClass {
  /// Connection error, early close, shed, or an answer such as 502 or 503.
  Transient,
  /// The answer will be the same from every target, such as 400 or 404.
  Permanent,
};

/// What is known when an attempt has failed.
struct FailedAttempt {
  FailureClass Class = FailureClass::Transient;
  TargetName Target;
  /// Attempts so far, this one included.
  std::uint32_t Attempts = 1;
  /// The route says that running twice is harmless.
  bool Repeatable = false;
  /// Nothing was sent, or the target shed it and shedding means "not run".
  bool ProvablyNotRun = false;
  /// True once a part of the answer went to the caller.
  bool AnswerStarted = false;
  /// False if the body was too long to be kept.
  bool BodyKept = true;
  TimePoint Deadline;
  /// Targets that failed before.
  std::set<TargetName> Excluded;
};

/// A further attempt, not before the time given.
struct RetryAt {
  TimePoint When;
  /// Targets that the attempt must avoid.
  std::set<TargetName> Excluded;

  auto operator<=>(const RetryAt &) const = default;
};

enum class NoRetry { Permanent, MayHaveRun, AnswerStarted, NoBody, Attempts, Deadline, Budget };

using RetryDecision = std::variant<RetryAt, NoRetry>;

/// Rules for further attempts. Pure functions; safe from any thread.
class RetryPolicy {
public:
  static constexpr std::uint32_t MaxAttempts = 3;
  static constexpr Duration BaseDelay{5'000};
  static constexpr Duration MaxDelay{200'000};

  /// Full jitter: uniform in [0, min(cap, base * 2^(Attempts - 1))). Draw is uniform in [0, 1).
  static Duration delay(std::uint32_t Attempts, double Draw);

  /// Everything but the budget. Callers take from the budget only if this allows a retry, so that
  /// hopeless retries cost nothing.
  static RetryDecision decide(const FailedAttempt &Failed, double Draw, TimePoint Now);

  /// As above; TakeFromBudget is called last, and only if everything else allows a retry.
  template <typename Take>
  static RetryDecision decide(const FailedAttempt &Failed, double Draw, TimePoint Now,
                              Take &&TakeFromBudget) {
    RetryDecision Result = decide(Failed, Draw, Now);
    if (std::holds_alternative<RetryAt>(Result) && !TakeFromBudget()) {
      return NoRetry::Budget;
    }
    return Result;
  }
};

} // namespace anvilsaddle
