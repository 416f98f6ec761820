#include "transport/RequestFlows.h"

#include "coordination/Dispatcher.h"
#include "coordination/RandomSource.h"
#include "protocol/ExchangeProtocol.h"
#include "protocol/Metrics.h"
#include "transport/Clock.h"
#include "transport/EventLog.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
/// Short, because another entry can accept the request immediately.
constexpr Duration RetryAfterShutdown = 50ms;
/// An entry receives its configuration within about a second of its start.
constexpr Duration RetryWhileUnconfigured = 300ms;

std::string formatSeconds(Duration Value) {
  std::array<char, G_ASCII_DTOSTR_BUF_SIZE> Text{};
  g_ascii_formatd(Text.data(), Text.size(), "%.3f", std::chrono::duration<double>(Value).count());
  return Text.data();
}

std::string formatMilliseconds(Duration Value) { return std::to_string(toMilliseconds(Value)); }

ResponseHead localResponse(int Status, Duration RetryAfter) {
  ResponseHead Result;
  Result.Status = Status;
  Result.Reason = reasonPhrase(Status);
  Result.Fields = {{"Content-Type", "text/plain"}};
  if (RetryAfter > Duration(0)) {
    Result.Fields.emplace_back("Retry-After", formatSeconds(RetryAfter));
  }
  return Result;
}

int statusFor(RefusalKind Kind) {
  switch (Kind) {
  case RefusalKind::NotExecuted:
    return Unavailable;
  case RefusalKind::TimedOut:
    return GatewayTimeout;
  case RefusalKind::TargetFailed:
    return BadGateway;
  }
  return BadGateway;
}

const ServiceName &chooseService(const Route &MatchedRoute, double RandomValue) {
  double Total = 0;
  for (const WeightedService &Each : MatchedRoute.Services) {
    Total += Each.Weight;
  }
  double RemainingWeight = RandomValue * Total;
  for (const WeightedService &Each : MatchedRoute.Services) {
    RemainingWeight -= Each.Weight;
    if (RemainingWeight < 0) {
      return Each.Service;
    }
  }
  return MatchedRoute.Services.back().Service;
}

LogFields forwardedLogFields(const std::string &RequestId, const SendAttempt &Command) {
  return {{"request", RequestId},
          {"attempt", std::to_string(Command.Attempt)},
          {"entry", Command.Target.str()},
          {"may_wait", Command.Forward->MayQueue ? "yes" : "no"},
          {"targets", std::to_string(Command.Forward->MaxTargets)},
          {"expected_ms", formatMilliseconds(Command.Details.ExpectedCost)},
          {"elapsed_ms", formatMilliseconds(Command.Forward->Elapsed)}};
}

LogFields sentLogFields(const std::string &RequestId, const SendAttempt &Command) {
  const PlacementDetails &Placement = Command.Details;
  return {{"request", RequestId},
          {"attempt", std::to_string(Command.Attempt)},
          {"target", Command.Target.str()},
          {"hedge", Placement.IsHedge ? "yes" : "no"},
          {"running", std::to_string(Placement.Load.Running)},
          {"waiting", std::to_string(Placement.Load.Waiting)},
          {"slots", std::to_string(Placement.Load.Slots)},
          {"slowdown",
           formatSeconds(Duration(static_cast<std::int64_t>(Placement.Load.Slowdown * 1e6)))},
          {"load_age_us", std::to_string(Placement.LoadAge.count())},
          {"expected_ms", formatMilliseconds(Placement.ExpectedCost)},
          {"candidates", std::to_string(Placement.CandidateCount)}};
}

} // namespace

RequestFlows::RequestFlows(Dependencies Deps) : Deps(std::move(Deps)) {
  this->FlowCallbacks.OnAttemptEnd = [this](RequestFlow &Flow, AttemptNumber Attempt,
                                            const AttemptResult &End, const std::string &Detail) {
    this->onAttemptEnd(Flow, Attempt, End, Detail);
  };
  this->FlowCallbacks.OnCommitted = [this](RequestFlow &Flow, AttemptNumber Attempt) {
    this->onCommitted(Flow, Attempt);
  };
  this->FlowCallbacks.OnResponseEnd = [this](RequestFlow &Flow, int Status, bool Complete) {
    this->onResponseEnd(Flow, Status, Complete);
  };
}

RequestFlows::~RequestFlows() = default;

void RequestFlows::setConfiguration(const Configuration &NewConfiguration) {
  this->Routes.reset();
  this->CurrentConfiguration = NewConfiguration;
  this->Routes.emplace(*this->CurrentConfiguration);
}

std::optional<RequestAttributes>
RequestFlows::makeAttributes(const HttpExchange &Exchange,
                             const std::optional<Duration> &RemainingTime) {
  const RequestHead &Head = Exchange.head();
  const Route *Found = this->Routes
                           ? this->Routes->find(findField(Head.Fields, "Host"), Head.RequestTarget)
                           : nullptr;
  if (!Found) {
    return std::nullopt;
  }
  RequestAttributes Result;
  Result.Route = Found->Name;
  Result.Service = chooseService(*Found, this->Deps.Random.uniform());
  Result.Idempotent = Found->Idempotent;
  Result.Priority = Found->Priority;
  Result.MaxTargets = std::max<std::uint32_t>(1, Found->MaxTargets);
  Result.HomeRegions = Found->HomeRegions;
  Result.ReceivedAt = Exchange.received();
  Result.Objective = Found->LatencyObjective;
  Result.Deadline =
      Result.ReceivedAt + std::min(Found->Timeout, RemainingTime.value_or(Found->Timeout));
  return Result;
}

void RequestFlows::onRequest(HttpExchange &Exchange) {
  this->handleRequest(Exchange, std::nullopt);
}

void RequestFlows::onForwardedRequest(HttpExchange &Exchange) {
  const auto Forward = Exchange.takeForwardOptions();
  if (!Forward) {
    logEvent(LogLevel::Warning, "forward_unreadable",
             {{"request", this->Deps.Protocol.readRequest(Exchange.head()).RequestId}});
    Exchange.respond(localResponse(BadRequest, Duration(0)), "the forward mark can't be read\n");
    return;
  }
  this->handleRequest(Exchange, Forward);
}

void RequestFlows::handleRequest(HttpExchange &Exchange,
                                 const std::optional<ForwardOptions> &Forward) {
  const RequestMetadata Metadata = this->Deps.Protocol.readRequest(Exchange.head());
  if (this->RejectsNewRequests) {
    this->Deps.RequestMetrics.onRefused("the entry ends", Unavailable);
    logEvent(LogLevel::Info, "refused",
             {{"request", Metadata.RequestId}, {"reason", "entry ends"}});
    Exchange.respond(localResponse(Unavailable, RetryAfterShutdown), "the entry ends\n");
    return;
  }
  auto Attributes = this->makeAttributes(Exchange, Metadata.RemainingTime);
  if (!Attributes) {
    this->rejectUnrouted(Exchange, Metadata.RequestId);
    return;
  }
  if (Forward) {
    Attributes->CameFromOtherEntry = true;
    Attributes->MayQueue = Forward->MayQueue;
    Attributes->MaxTargets = std::min(Attributes->MaxTargets, Forward->MaxTargets);
    // The latency objective is measured from the arrival at the first entry.
    Attributes->ReceivedAt -= Forward->Elapsed;
  }
  const RequestNumber Number = ++this->LastNumber;
  this->Flows[Number] = std::make_unique<RequestFlow>(Number, Exchange, *Attributes,
                                                      Metadata.RequestId, this->FlowCallbacks);
  this->NumberByExchange[&Exchange] = Number;
  this->Deps.RequestDispatcher.onRequest(Number, std::move(*Attributes), this->Deps.Time.now());
  this->Deps.ApplyEffects();
}

void RequestFlows::rejectUnrouted(HttpExchange &Exchange, const std::string &Id) {
  const bool IsConfigured = this->CurrentConfiguration.has_value();
  const int Status = IsConfigured ? NotFound : Unavailable;
  const std::string Reason = IsConfigured ? "no route matches" : "no configuration yet";
  this->Deps.RequestMetrics.onRefused(Reason, Status);
  logEvent(
      LogLevel::Info, "refused",
      {{"request", Id},
       {"reason", Reason},
       {"version", IsConfigured ? std::to_string(this->CurrentConfiguration->Version) : "none"}});
  Exchange.respond(localResponse(Status, IsConfigured ? Duration(0) : RetryWhileUnconfigured),
                   Reason + "\n");
}

void RequestFlows::onCallerDisconnected(HttpExchange &Exchange) {
  const auto Found = this->NumberByExchange.find(&Exchange);
  if (Found == this->NumberByExchange.end()) {
    return;
  }
  const RequestNumber Number = Found->second;
  RequestFlow &Flow = *this->find(Number);
  this->Deps.RequestMetrics.onCallerDisconnected();
  logEvent(
      LogLevel::Info, "caller_gone",
      {{"request", Flow.id()},
       {"after_ms", formatMilliseconds(this->Deps.Time.now() - Flow.attributes().ReceivedAt)}});
  this->erase(Flow);
  this->Deps.RequestDispatcher.onCallerDisconnected(Number, this->Deps.Time.now());
  this->Deps.ApplyEffects();
}

RequestFlow *RequestFlows::find(RequestNumber Number) {
  const auto Found = this->Flows.find(Number);
  return Found == this->Flows.end() ? nullptr : Found->second.get();
}

void RequestFlows::erase(RequestFlow &Flow) {
  this->NumberByExchange.erase(&Flow.exchange());
  const auto Found = this->Flows.find(Flow.number());
  this->EndedFlows.add(std::move(Found->second));
  this->Flows.erase(Found);
}

void RequestFlows::apply(const SendAttempt &Command) {
  RequestFlow *Flow = this->find(Command.Request);
  if (!Flow) {
    return;
  }
  this->Deps.RequestMetrics.onAttempt(Flow->attributes().Service, Command.Attempt > 0);
  if (Command.Forward) {
    logEvent(LogLevel::Info, "forwarded", forwardedLogFields(Flow->id(), Command));
  } else {
    logEvent(LogLevel::Info, "sent", sentLogFields(Flow->id(), Command));
  }
  Flow->startAttempt(this->Deps.Pool, this->Deps.Protocol, Command,
                     Command.Deadline - this->Deps.Time.now());
}

void RequestFlows::apply(const CancelAttempt &Command) {
  if (RequestFlow *Flow = this->find(Command.Request)) {
    logEvent(LogLevel::Info, "cancelled",
             {{"request", Flow->id()}, {"attempt", std::to_string(Command.Attempt)}});
    Flow->cancelAttempt(Command.Attempt);
  }
}

void RequestFlows::apply(const DeliverResponse &Command) {
  if (RequestFlow *Flow = this->find(Command.Request)) {
    Flow->deliver(Command.Attempt);
  }
}

void RequestFlows::apply(const RefuseRequest &Command) {
  RequestFlow *Flow = this->find(Command.Request);
  if (!Flow) {
    return;
  }
  const int Status = statusFor(Command.Kind);
  this->Deps.RequestMetrics.onRefused(Command.Reason, Status);
  logEvent(LogLevel::Info, "refused",
           {{"request", Flow->id()},
            {"kind", toString(Command.Kind)},
            {"reason", Command.Reason},
            {"retry_after_s", formatSeconds(Command.RetryAfter)},
            {"queued", std::to_string(this->Deps.RequestDispatcher.queueLength())}});
  Flow->reject(localResponse(Status, Command.RetryAfter), Command.Reason + "\n");
}

void RequestFlows::failPendingRequests() {
  std::vector<RequestNumber> PendingNumbers;
  for (const auto &[Number, Flow] : this->Flows) {
    PendingNumbers.push_back(Number);
  }
  for (const RequestNumber Number : PendingNumbers) {
    RequestFlow *Flow = this->find(Number);
    if (!Flow || Flow->isCommitted()) {
      continue;
    }
    this->Deps.RequestMetrics.onRefused("the entry ends", GatewayTimeout);
    logEvent(LogLevel::Warning, "refused", {{"request", Flow->id()}, {"reason", "entry ends"}});
    Flow->reject(localResponse(GatewayTimeout, Duration(0)), "the entry ends\n");
    this->Deps.RequestDispatcher.onCallerDisconnected(Number, this->Deps.Time.now());
  }
  this->Deps.ApplyEffects();
}

void RequestFlows::onAttemptEnd(RequestFlow &Flow, AttemptNumber Attempt, const AttemptResult &End,
                                const std::string &Detail) {
  this->Deps.RequestMetrics.onAttemptEnd(Flow.attributes().Service, End.Outcome);
  logEvent(
      LogLevel::Info, "attempt_ended",
      {{"request", Flow.id()},
       {"attempt", std::to_string(Attempt)},
       {"outcome", toString(End.Outcome)},
       {"detail", Detail},
       {"after_ms", formatMilliseconds(this->Deps.Time.now() - Flow.attributes().ReceivedAt)}});
  this->Deps.RequestDispatcher.onAttemptEnd(Flow.number(), Attempt, End, this->Deps.Time.now());
  this->Deps.ApplyEffects();
}

void RequestFlows::onCommitted(RequestFlow &Flow, AttemptNumber Attempt) {
  this->Deps.RequestDispatcher.onResponseCommitted(Flow.number(), Attempt, this->Deps.Time.now());
  this->Deps.ApplyEffects();
}

void RequestFlows::onResponseEnd(RequestFlow &Flow, int Status, bool Complete) {
  const TimePoint Now = this->Deps.Time.now();
  const Duration Latency = Now - Flow.attributes().ReceivedAt;
  this->Deps.RequestMetrics.onResponse(Flow.attributes().Service, Status, Latency, Now);
  logEvent(LogLevel::Info, "answered",
           {{"request", Flow.id()},
            {"status", std::to_string(Status)},
            {"complete", Complete ? "yes" : "no"},
            {"route", Flow.attributes().Route.str()},
            {"service", Flow.attributes().Service.str()},
            {"after_ms", formatMilliseconds(Latency)}});
  if (this->find(Flow.number()) == &Flow) {
    this->erase(Flow);
  }
}

} // namespace anvilsaddle
