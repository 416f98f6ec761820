#pragma once

#include "state/Identifiers.h"
#include "state/TeamSettings.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace anvilsaddle {

/// Number of a request within one entry process.
using RequestNumber = std::uint64_t;

/// A request that waits for a slot on one of the targets of a group.
struct QueuedRequest {
  RequestNumber Number = 0;
  CustomerName Customer;
  std::uint32_t Weight = 1;
  /// Most requests of this customer that may wait or run at once.
  std::uint32_t MaxInFlight = 100;
  RequestClass Class = RequestClass::Interactive;
  TimePoint Deadline;
  /// Targets on which an earlier attempt failed.
  std::set<TargetName> Excluded;

  auto operator<=>(const QueuedRequest &) const = default;
};

/// A target that may be used now, and how much of it.
struct DispatchTarget {
  TargetName Target;
  /// Slots that this process may fill: slots of the service less those reserved for an earlier
  /// owner.
  std::uint32_t Slots = 0;

  auto operator<=>(const DispatchTarget &) const = default;
};

/// A request that shall be sent to a target now. It holds a slot until onAttemptEnd().
struct Assignment {
  RequestNumber Request = 0;
  TargetName Target;

  auto operator<=>(const Assignment &) const = default;
};

enum class EnqueueOutcome {
  Queued,
  /// The customer has its most requests waiting or running.
  CustomerLimit,
  /// The queue is full or the expected wait is longer than the deadline.
  Overloaded,
};

enum class AttemptOutcome {
  Succeeded,
  /// The target refused for lack of capacity.
  Shed,
  /// Connection error, early close, or an answer that says the target is broken.
  Failed,
  DeadlineExceeded,
  /// The caller left; says nothing about the target.
  Cancelled,
};

struct AttemptResult {
  AttemptOutcome Outcome = AttemptOutcome::Succeeded;
  /// Time from sending to the first byte of the answer.
  Duration FirstByte{0};
  /// Time from sending to the end of the answer.
  Duration Total{0};
  /// Random draw, uniform in [0, 1), that spreads the backoff after a failure.
  double Draw = 0.5;

  auto operator<=>(const AttemptResult &) const = default;
};

struct DispatchLoad {
  /// Slots that could be filled now.
  std::uint32_t SpareSlots = 0;
  std::uint32_t Queued = 0;
  std::uint32_t InFlight = 0;

  auto operator<=>(const DispatchLoad &) const = default;
};

/// State of one target as `anvilsaddle targets` shows it.
struct TargetStatus {
  TargetName Target;
  std::uint32_t Slots = 0;
  /// Concurrency limit learned from answers; 0 while no new work is sent.
  std::uint32_t Limit = 0;
  std::uint32_t InFlight = 0;
  /// Expected time to the first byte of an undisturbed answer; zero while unknown.
  Duration Baseline{0};

  auto operator<=>(const TargetStatus &) const = default;
};

/// Decides which waiting request goes to which target of a group and when. Performs no I/O and
/// reads no clock. Calls must pass non-decreasing times. Not thread-safe.
class DispatchPolicy {
public:
  virtual ~DispatchPolicy() = default;

  /// Replaces the set of usable targets. Targets that are no longer named get no new work; their
  /// running attempts still end by onAttemptEnd().
  virtual void setTargets(const std::vector<DispatchTarget> &Targets, TimePoint Now) = 0;

  /// Precondition: the number is neither waiting nor running.
  virtual EnqueueOutcome enqueue(const QueuedRequest &Request, TimePoint Now) = 0;

  /// Starts as many waiting requests as the limits allow.
  virtual std::vector<Assignment> assign(TimePoint Now) = 0;

  /// Removes and returns waiting requests that can't start before their deadline.
  virtual std::vector<RequestNumber> expire(TimePoint Now) = 0;

  /// Removes a waiting request. Returns false if it is not waiting.
  virtual bool cancel(RequestNumber Request, TimePoint Now) = 0;

  /// Frees the slot of a running request. Unknown numbers are ignored.
  virtual void onAttemptEnd(RequestNumber Request, const AttemptResult &Result, TimePoint Now) = 0;

  /// Tells that the answer of a running request has begun, so that a long body does not count as a
  /// slow answer. Optional: without it, age is compared with the whole answer time.
  virtual void onFirstByte(RequestNumber, TimePoint) {}

  /// Next time at which assign() or expire() may have a new result without another event.
  virtual std::optional<TimePoint> nextWakeup(TimePoint Now) const = 0;

  virtual DispatchLoad load() const = 0;
  virtual std::vector<TargetStatus> status() const = 0;
  /// Running attempts on one target.
  virtual std::uint32_t inFlight(const TargetName &Target) const = 0;
};

} // namespace anvilsaddle
