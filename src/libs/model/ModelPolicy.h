#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "state/Time.h"

#include <cstddef>
#include <functional>

namespace anvilsaddle {

/// Outcome of a request for its caller.
enum class ModelOutcome {
  Served,
  /// The request was not executed; the caller may retry.
  Refused,
  Failed,
};

/// A simulated request.
struct ModelRequest {
  RequestAttributes Attributes;
  /// Processing time on a target at normal speed. Policies only pass it to targets, because entries
  /// don't know it; only IdealPolicy uses it for a decision.
  Duration ProcessingTime{0};
  /// Index of the entry that the caller sent the request to.
  std::size_t Entry = 0;
  /// Called exactly once. `RetryAfter` is meaningful for refusals only.
  std::function<void(ModelOutcome, Duration RetryAfter)> OnEnd;
};

/// Load balancing policy: decides which target serves a request. Not thread-safe.
class ModelPolicy {
public:
  virtual ~ModelPolicy() = default;

  virtual void onRequest(ModelRequest Request) = 0;
};

} // namespace anvilsaddle
