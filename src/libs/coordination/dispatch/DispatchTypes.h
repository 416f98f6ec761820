#pragma once

#include "coordination/dispatch/LoadReport.h"
#include "coordination/dispatch/TargetConditions.h"
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

/// Number of a request at this entry; never reused.
using RequestNumber = std::uint64_t;
/// Index of an attempt among those of its request, starting at 0.
using AttemptNumber = std::uint32_t;

/// Attributes of a request that determine how it is dispatched. Value type.
struct RequestAttributes {
  /// Version of the configuration that was in force when the request was routed.
  std::uint64_t ConfigurationVersion = 0;
  RouteName Route;
  /// One of the route's services, selected once for the request.
  ServiceName Service;
  bool Idempotent = false;
  std::uint32_t Priority = 0;
  std::uint32_t MaxTargets = 1;
  /// Regions that may serve the request; empty means all.
  std::set<RegionName> HomeRegions;
  /// Empty if the request belongs to no customer.
  CustomerName Customer{};
  TimePoint ReceivedAt{};
  /// A response before ReceivedAt + Objective is worth most; a later one, up to the deadline, is
  /// worth less.
  Duration Objective{0};
  /// The request gets its final response by this time.
  TimePoint Deadline{};
  /// Time until the caller gives up as of the arrival; nothing if the caller doesn't state it.
  std::optional<Duration> CallerTimeLeft;
  /// Time that the caller has spent on earlier attempts, if the request takes the place of the
  /// first one.
  Duration CallerElapsed{0};
  /// The request was forwarded by an entry of another region. It is only sent to targets of this
  /// region.
  bool CameFromOtherEntry = false;
  /// False if the request is refused at once when no target has free capacity, because the entry
  /// that forwarded it then tries other targets.
  bool MayQueue = true;

  auto operator<=>(const RequestAttributes &) const = default;
};

/// Options that an entry sets for the entry to which it forwards a request. Value type.
struct ForwardOptions {
  std::uint32_t MaxTargets = 1;
  bool MayQueue = false;
  /// Time since the request arrived at the first entry.
  Duration Elapsed{0};
  /// Service that the first entry selected; empty if it is an entry of an older version, which
  /// leaves the selection to the other one.
  ServiceName Service{};

  auto operator<=>(const ForwardOptions &) const = default;
};

enum class AttemptOutcome {
  /// A complete response of the target with a status below 500.
  Succeeded,
  /// A complete response of the target with a status of 500 or above; the request was executed.
  TargetError,
  /// The target reports that it did not execute the request.
  NotExecuted,
  /// The request was not sent because no connection could be established.
  NotSent,
  /// The request was sent and may have been executed; there is no usable response.
  Interrupted,
};

const char *toString(AttemptOutcome Outcome);

/// Result of an attempt. Value type.
struct AttemptResult {
  AttemptOutcome Outcome = AttemptOutcome::Interrupted;
  /// Load reported with the response.
  std::optional<LoadReport> Load;
  std::size_t ResponseBytes = 0;
  /// Demands of the target that executed the request.
  TargetConditions Conditions{};
  /// Time for which the target asks this entry to send nothing more; only with a rejection.
  std::optional<Duration> RetryAfter{};

  auto operator<=>(const AttemptResult &) const = default;
};

/// Requests the load of a target.
struct ProbeTarget {
  TargetName Target;
  Endpoint Address;
  std::string HealthPath;

  auto operator<=>(const ProbeTarget &) const = default;
};

/// What a decision about a hedge was based on, for the log. Value type.
struct HedgeInputs {
  /// Time since the running attempt was sent.
  Duration Elapsed{0};
  /// Time that was expected of the running attempt when it was sent.
  Duration ExpectedTime{0};
  /// Factor of the expected time within which 95 in 100 responses of the route arrive.
  double Factor = 0;
  /// Credit of the hedge budget before the decision.
  double Credit = 0;

  auto operator<=>(const HedgeInputs &) const = default;
};

/// Why a hedge that was due was not sent.
enum class HedgeObstacle : std::uint8_t {
  /// Requests of the service wait for a target at this entry.
  Queue,
  HedgeBudget,
  RetryBudget,
  /// No other target has a slot to spare and is likely to respond sooner.
  NoTarget,
};

/// Number of values of HedgeObstacle, for arrays of counters.
inline constexpr std::size_t HedgeObstacleCount = 4;

/// Short name for logs and metric labels, for example `no_target`.
const char *toString(HedgeObstacle Obstacle);

/// Reasons for the choice of a target, for the log.
struct PlacementDetails {
  LoadReport Load;
  Duration LoadAge{0};
  Duration ExpectedCost{0};
  std::size_t CandidateCount = 0;
  bool IsHedge = false;
  /// Set for a hedge if operators set a limit on hedges.
  std::optional<HedgeInputs> Hedge{};
  /// Expected time until the response, the same if the reported slowdown lasts, and the time until
  /// the deadline.
  Duration ExpectedTime{0};
  Duration TimeIfSlowdownLasts{0};
  Duration TimeLeft{0};
  /// Number of times that the request waited for a better target.
  std::uint32_t DeferralCount = 0;
  /// Fraction of the recent requests that the target rejected although it had room.
  double RejectRate = 0;

  auto operator<=>(const PlacementDetails &) const = default;
};

/// Sends a request to a target, or forwards it to an entry of another region.
struct SendAttempt {
  RequestNumber Request = 0;
  AttemptNumber Attempt = 0;
  TargetName Target;
  Endpoint Address;
  TimePoint Deadline{};
  bool Idempotent = false;
  PlacementDetails Details;
  /// Set if the request is forwarded; `Target` is then the IP address of the entry.
  std::optional<ForwardOptions> Forward;

  auto operator<=>(const SendAttempt &) const = default;
};

/// Cancels an attempt whose response is no longer needed.
struct CancelAttempt {
  RequestNumber Request = 0;
  AttemptNumber Attempt = 0;

  auto operator<=>(const CancelAttempt &) const = default;
};

/// Delivers the response of an attempt to the caller. The request is removed.
struct DeliverResponse {
  RequestNumber Request = 0;
  AttemptNumber Attempt = 0;

  auto operator<=>(const DeliverResponse &) const = default;
};

enum class RefusalKind {
  /// The request was not executed and will not be.
  NotExecuted,
  /// The deadline expired; a target may have executed the request.
  TimedOut,
  /// A target failed; the request may have been executed.
  TargetFailed,
};

const char *toString(RefusalKind Kind);

/// Ends the response that is being sent to the caller before it is complete, because the time of
/// the request is over. The request is removed.
struct AbortResponse {
  RequestNumber Request = 0;
  /// What the caller is told if nothing of the response has been sent.
  RefusalKind Kind = RefusalKind::TimedOut;
  /// From a fixed set of texts, for logs and metrics.
  std::string Reason;

  auto operator<=>(const AbortResponse &) const = default;
};

/// Figures behind a refusal, for the log.
struct RefusalDetails {
  /// Time until the deadline.
  Duration TimeLeft{0};
  /// Expected wait for a free slot, and expected time at a target after that.
  Duration ExpectedWait{0};
  Duration ExpectedTime{0};
  std::uint32_t DeferralCount = 0;
  /// Time that the caller has spent on earlier attempts.
  Duration CallerElapsed{0};

  auto operator<=>(const RefusalDetails &) const = default;
};

/// Numbers of decisions since the start of the entry. Value type.
struct DispatchCounters {
  /// Searches that sent a request to no target, because a better one may come free in time.
  std::uint64_t RunsDeferred = 0;
  /// Requests refused because no target is expected to complete them in time.
  std::uint64_t RunsRefused = 0;
  /// Requests sent although they are not expected to end in time, to learn whether they do.
  std::uint64_t RunsExplored = 0;
  /// Requests refused because they would wait for a slot for too long.
  std::uint64_t WaitsRefused = 0;
  /// Requests recognized as sent again after a refusal that take the place of the first attempt.
  std::uint64_t CallersReturned = 0;
  /// Refusals whose Retry-After follows from the interval of dispatches.
  std::uint64_t RetriesSpread = 0;
  /// Rejections by targets whose load showed room, and by targets that were full.
  std::uint64_t RejectionsWithRoom = 0;
  std::uint64_t RejectionsWhenFull = 0;
  /// Responses of targets that asked this entry to wait, and requests refused because all targets
  /// that could serve them had asked for that.
  std::uint64_t PausesRequested = 0;
  std::uint64_t PausesRefused = 0;

  auto operator<=>(const DispatchCounters &) const = default;
};

/// Refuses the request without a response of a target. The request is removed.
struct RefuseRequest {
  RequestNumber Request = 0;
  RefusalKind Kind = RefusalKind::NotExecuted;
  /// From a fixed set of texts, for logs and metrics.
  std::string Reason;
  /// Time after which the caller may retry; zero if a retry is not suggested.
  Duration RetryAfter{0};
  RefusalDetails Details{};

  auto operator<=>(const RefuseRequest &) const = default;
};

/// Reports that a hedge of the request was due and was not sent, for the log. Sent once per
/// request.
struct HedgeWithheld {
  RequestNumber Request = 0;
  HedgeObstacle Obstacle = HedgeObstacle::NoTarget;
  HedgeInputs Inputs;

  auto operator<=>(const HedgeWithheld &) const = default;
};

/// DeliverResponse, AbortResponse and RefuseRequest are the last effect of their request.
using Effect = std::variant<ProbeTarget, SendAttempt, CancelAttempt, DeliverResponse, AbortResponse,
                            RefuseRequest, HedgeWithheld>;

} // namespace anvilsaddle
