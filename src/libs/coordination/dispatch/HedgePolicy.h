#pragma once

#include "coordination/dispatch/DispatchRequest.h"
#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/ResponseTimeQuantile.h"
#include "coordination/limits/HedgeBudget.h"
#include "state/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace anvilsaddle {

/// Numbers of hedges since the start of the process. Value type.
struct HedgeCounts {
  std::uint64_t Sent = 0;
  /// Hedges whose response was delivered to the caller.
  std::uint64_t Won = 0;
  /// Requests for which a hedge was due, by the first reason for which it was not sent.
  std::array<std::uint64_t, HedgeObstacleCount> Withheld{};

  auto operator<=>(const HedgeCounts &) const = default;
};

/// Decides when and to whom hedges are sent if operators set a limit on them. Without a limit,
/// DispatchRequest::hedgeTime() decides. Performs no I/O and reads no clock. Not thread-safe.
class HedgePolicy {
public:
  explicit HedgePolicy(HedgeLimits Limits) : Budget(Limits) {}

  /// True if operators set a limit on hedges.
  bool isLimited() const { return this->Budget.share().has_value(); }
  /// Precondition: the count is positive.
  void setEntryCount(std::size_t Count) { this->Budget.setEntryCount(Count); }
  void onRequest(const RequestAttributes &Attributes);
  /// Time at which a hedge is worthwhile if the last attempt is sent now; nothing if no hedge is
  /// allowed. `ProcessingTime` is the usual time at a target, and `ExpectedTime` the time that is
  /// expected of this attempt.
  std::optional<TimePoint> hedgeTime(const DispatchRequest &Request, Duration ProcessingTime,
                                     Duration ExpectedTime, TimePoint Now) const;
  /// True if the target is likely to respond sooner than the running attempt, and keeps a slot for
  /// other requests. Precondition: the request has an attempt.
  bool isWorthwhile(const DispatchRequest &Request, const PlacementChoice &Choice,
                    TimePoint Now) const;
  /// Inputs of the decision about a hedge of the request now. Precondition: the request has an
  /// attempt.
  HedgeInputs inputs(const DispatchRequest &Request, TimePoint Now) const;

  bool canAcquire() const { return this->Budget.canAcquire(); }
  /// Takes a hedge from the budget. Precondition: canAcquire().
  void acquire();
  void onWithheld(HedgeObstacle Obstacle);
  /// Records that the response of an attempt is delivered. Precondition: the attempt exists.
  void onDelivered(const DispatchRequest &Request, AttemptNumber Attempt, TimePoint Now);

  const HedgeCounts &counts() const { return this->Counts; }

private:
  HedgeBudget Budget;
  ResponseTimeQuantile Quantiles;
  HedgeCounts Counts;
};

} // namespace anvilsaddle
