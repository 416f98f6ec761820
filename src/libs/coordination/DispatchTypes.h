#pragma once

#include "coordination/LoadReport.h"
#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace anvilsaddle {

/// Number of a request at this entry; never used twice.
using RequestNumber = std::uint64_t;
/// Position of an attempt among those of its request, from 0 on.
using AttemptNumber = std::uint32_t;

/// What decides about a request. Value type.
struct RequestAttributes {
  RouteName Route;
  /// One of the route's services, chosen once for the request.
  ServiceName Service;
  bool Idempotent = false;
  std::uint32_t Priority = 0;
  std::uint32_t MaxTargets = 1;
  /// Regions that may serve it; empty means all.
  std::set<RegionName> HomeRegions;
  TimePoint Received{};
  /// The answer is worth most before Received + Objective.
  Duration Objective{0};
  /// The request gets its final answer by then.
  TimePoint Deadline{};
  /// An entry of another region passed the request on; it goes no further than to targets here.
  bool IsForwarded = false;
  /// False if the request is refused at once when no target has room, because the entry that passed
  /// it on looks elsewhere then.
  bool MayQueue = true;

  auto operator<=>(const RequestAttributes &) const = default;
};

/// What an entry allows the one that it passes a request on to. Value type.
struct ForwardOptions {
  std::uint32_t MaxTargets = 1;
  bool MayQueue = false;
  /// Since the request arrived at the first entry.
  Duration Elapsed{0};

  auto operator<=>(const ForwardOptions &) const = default;
};

enum class AttemptOutcome {
  /// The whole answer of the target with a status below 500.
  Succeeded,
  /// The whole answer of the target with a status of 500 or above; the work ran.
  TargetError,
  /// The target says that it did not run the request.
  NotExecuted,
  /// The request was not sent, because no connection came about.
  NotSent,
  /// The request was sent and may have run; there is no usable answer.
  Interrupted,
};

const char *toString(AttemptOutcome Outcome);

/// End of an attempt. Value type.
struct AttemptResult {
  AttemptOutcome Outcome = AttemptOutcome::Interrupted;
  /// Load that came with the answer.
  std::optional<LoadReport> Load;
  std::size_t ResponseBytes = 0;

  auto operator<=>(const AttemptResult &) const = default;
};

/// Ask a target for its load.
struct ProbeTarget {
  TargetName Target;
  Endpoint Address;
  std::string HealthPath;

  auto operator<=>(const ProbeTarget &) const = default;
};

/// Why a target was chosen, for the log.
struct PlacementDetails {
  LoadReport Load;
  Duration LoadAge{0};
  Duration ExpectedCost{0};
  std::size_t Candidates = 0;
  bool IsHedge = false;

  auto operator<=>(const PlacementDetails &) const = default;
};

/// Send a request to a target, or pass it on to an entry of another region.
struct SendAttempt {
  RequestNumber Request = 0;
  AttemptNumber Attempt = 0;
  TargetName Target;
  Endpoint Address;
  TimePoint Deadline{};
  bool Idempotent = false;
  PlacementDetails Note;
  /// Set if an entry gets the request; `Target` is its IP number then.
  std::optional<ForwardOptions> Forward;

  auto operator<=>(const SendAttempt &) const = default;
};

/// Stop an attempt whose answer is no longer needed.
struct CancelAttempt {
  RequestNumber Request = 0;
  AttemptNumber Attempt = 0;

  auto operator<=>(const CancelAttempt &) const = default;
};

/// Pass the answer of an attempt on to the caller. The request is forgotten.
struct DeliverResponse {
  RequestNumber Request = 0;
  AttemptNumber Attempt = 0;

  auto operator<=>(const DeliverResponse &) const = default;
};

enum class RefusalKind {
  /// The request did not run and will not run.
  NotExecuted,
  /// The time is over; a target may have run the request.
  TimedOut,
  /// A target failed; the request may have run.
  TargetFailed,
};

const char *toString(RefusalKind Kind);

/// Answer the request without a target's answer. The request is forgotten.
struct RefuseRequest {
  RequestNumber Request = 0;
  RefusalKind Kind = RefusalKind::NotExecuted;
  /// From a fixed set of texts, for logs and metrics.
  std::string Reason;
  /// When the caller may come back; zero if that has no meaning.
  Duration RetryAfter{0};

  auto operator<=>(const RefuseRequest &) const = default;
};

using Effect =
    std::variant<ProbeTarget, SendAttempt, CancelAttempt, DeliverResponse, RefuseRequest>;

} // namespace anvilsaddle
