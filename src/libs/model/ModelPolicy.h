#pragma once

#include "coordination/DispatchTypes.h"
#include "state/Time.h"

#include <cstddef>
#include <functional>

namespace anvilsaddle {

/// How a request ended for its caller.
enum class ModelOutcome {
  Served,
  /// Not run; the caller may come back.
  Refused,
  Failed,
};

/// A request on its way through a policy.
struct ModelRequest {
  RequestAttributes Terms;
  /// Time at a target that works as usual. A policy may hand it to targets only.
  Duration Work{0};
  /// The entry that the caller asked.
  std::size_t Entry = 0;
  /// Is called once. `RetryAfter` counts for refusals.
  std::function<void(ModelOutcome, Duration RetryAfter)> OnEnd;
};

/// Decides where requests go. Not thread-safe.
class ModelPolicy {
public:
  virtual ~ModelPolicy() = default;

  virtual void onRequest(ModelRequest Request) = 0;
};

} // namespace anvilsaddle
