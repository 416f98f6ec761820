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
/// Another entry takes the request at once.
constexpr Duration RetryElsewhere = 50ms;
/// A configuration arrives within about a second of the start.
constexpr Duration RetryWithoutConfiguration = 300ms;

std::string secondsText(Duration Value) {
  std::array<char, G_ASCII_DTOSTR_BUF_SIZE> Text{};
  g_ascii_formatd(Text.data(), Text.size(), "%.3f", std::chrono::duration<double>(Value).count());
  return Text.data();
}

std::string millisecondsText(Duration Value) { return std::to_string(toMilliseconds(Value)); }

ResponseHead ownAnswer(int Status, Duration RetryAfter) {
  ResponseHead Result;
  Result.Status = Status;
  Result.Reason = reasonPhrase(Status);
  Result.Fields = {{"Content-Type", "text/plain"}};
  if (RetryAfter > Duration(0)) {
    Result.Fields.emplace_back("Retry-After", secondsText(RetryAfter));
  }
  return Result;
}

int statusOf(RefusalKind Kind) {
  switch (Kind) {
  case RefusalKind::NotRun:
    return Unavailable;
  case RefusalKind::TimedOut:
    return GatewayTimeout;
  case RefusalKind::TargetFailed:
    return BadGateway;
  }
  return BadGateway;
}

const ServiceName &chooseService(const Route &Choice, double Draw) {
  double Total = 0;
  for (const WeightedService &Each : Choice.Services) {
    Total += Each.Weight;
  }
  double Left = Draw * Total;
  for (const WeightedService &Each : Choice.Services) {
    Left -= Each.Weight;
    if (Left < 0) {
      return Each.Service;
    }
  }
  return Choice.Services.back().Service;
}

LogFields forwardedFields(const std::string &RequestId, const SendAttempt &Order) {
  return {{"request", RequestId},
          {"attempt", std::to_string(Order.Attempt)},
          {"entry", Order.Target.str()},
          {"may_wait", Order.Forward->MayWait ? "yes" : "no"},
          {"targets", std::to_string(Order.Forward->MaxTargets)},
          {"expected_ms", millisecondsText(Order.Note.ExpectedCost)},
          {"elapsed_ms", millisecondsText(Order.Forward->Elapsed)}};
}

LogFields sentFields(const std::string &RequestId, const SendAttempt &Order) {
  const PlacementNote &Note = Order.Note;
  return {{"request", RequestId},
          {"attempt", std::to_string(Order.Attempt)},
          {"target", Order.Target.str()},
          {"hedge", Note.IsHedge ? "yes" : "no"},
          {"running", std::to_string(Note.Load.Running)},
          {"waiting", std::to_string(Note.Load.Waiting)},
          {"slots", std::to_string(Note.Load.Slots)},
          {"slowdown", secondsText(Duration(static_cast<std::int64_t>(Note.Load.Slowdown * 1e6)))},
          {"load_age_us", std::to_string(Note.LoadAge.count())},
          {"expected_ms", millisecondsText(Note.ExpectedCost)},
          {"candidates", std::to_string(Note.Candidates)}};
}

} // namespace

RequestFlows::RequestFlows(Parts Uses) : Uses(std::move(Uses)) {
  this->Reports.OnAttemptEnd = [this](RequestFlow &Flow, AttemptNumber Attempt,
                                      const AttemptEnd &End, const std::string &Detail) {
    this->onAttemptEnd(Flow, Attempt, End, Detail);
  };
  this->Reports.OnCommitted = [this](RequestFlow &Flow, AttemptNumber Attempt) {
    this->onCommitted(Flow, Attempt);
  };
  this->Reports.OnDone = [this](RequestFlow &Flow, int Status, bool Complete) {
    this->onDone(Flow, Status, Complete);
  };
}

RequestFlows::~RequestFlows() = default;

void RequestFlows::setConfiguration(const Configuration &Newer) {
  this->Routes.reset();
  this->Settings = Newer;
  this->Routes.emplace(*this->Settings);
}

std::optional<RequestTerms> RequestFlows::makeTerms(const HttpExchange &Exchange,
                                                    const std::optional<Duration> &Remaining) {
  const RequestHead &Head = Exchange.head();
  const Route *Found =
      this->Routes ? this->Routes->find(findField(Head.Fields, "Host"), Head.Target) : nullptr;
  if (!Found) {
    return std::nullopt;
  }
  RequestTerms Result;
  Result.Route = Found->Name;
  Result.Service = chooseService(*Found, this->Uses.Random.uniform());
  Result.Idempotent = Found->Idempotent;
  Result.Priority = Found->Priority;
  Result.MaxTargets = std::max<std::uint32_t>(1, Found->MaxTargets);
  Result.HomeRegions = Found->HomeRegions;
  Result.Received = Exchange.received();
  Result.Objective = Found->LatencyObjective;
  Result.Deadline = Result.Received + std::min(Found->Timeout, Remaining.value_or(Found->Timeout));
  return Result;
}

void RequestFlows::onRequest(HttpExchange &Exchange) { this->take(Exchange, std::nullopt); }

void RequestFlows::onForwarded(HttpExchange &Exchange) {
  const auto Forward = Exchange.takeForwardTerms();
  if (!Forward) {
    logEvent(LogLevel::Warning, "forward_unreadable",
             {{"request", this->Uses.Protocol.readRequest(Exchange.head()).RequestId}});
    Exchange.respond(ownAnswer(BadRequest, Duration(0)), "the forward mark can't be read\n");
    return;
  }
  this->take(Exchange, Forward);
}

void RequestFlows::take(HttpExchange &Exchange, const std::optional<ForwardTerms> &Forward) {
  const RequestMetadata Caller = this->Uses.Protocol.readRequest(Exchange.head());
  if (this->Refusing) {
    this->Uses.Counters.onRefused("the entry ends", Unavailable);
    logEvent(LogLevel::Info, "refused", {{"request", Caller.RequestId}, {"reason", "entry ends"}});
    Exchange.respond(ownAnswer(Unavailable, RetryElsewhere), "the entry ends\n");
    return;
  }
  auto Terms = this->makeTerms(Exchange, Caller.Remaining);
  if (!Terms) {
    this->refuseUnrouted(Exchange, Caller.RequestId);
    return;
  }
  if (Forward) {
    Terms->IsForwarded = true;
    Terms->MayWait = Forward->MayWait;
    Terms->MaxTargets = std::min(Terms->MaxTargets, Forward->MaxTargets);
    // The objective counts from the arrival at the first entry.
    Terms->Received -= Forward->Elapsed;
  }
  const RequestNumber Number = ++this->LastNumber;
  this->Flows[Number] =
      std::make_unique<RequestFlow>(Number, Exchange, *Terms, Caller.RequestId, this->Reports);
  this->Numbers[&Exchange] = Number;
  this->Uses.Decisions.onRequest(Number, std::move(*Terms), this->Uses.Time.now());
  this->Uses.Settle();
}

void RequestFlows::refuseUnrouted(HttpExchange &Exchange, const std::string &Id) {
  const bool IsKnown = this->Settings.has_value();
  const int Status = IsKnown ? NotFound : Unavailable;
  const std::string Reason = IsKnown ? "no route matches" : "no configuration yet";
  this->Uses.Counters.onRefused(Reason, Status);
  logEvent(LogLevel::Info, "refused",
           {{"request", Id},
            {"reason", Reason},
            {"version", IsKnown ? std::to_string(this->Settings->Version) : "none"}});
  Exchange.respond(ownAnswer(Status, IsKnown ? Duration(0) : RetryWithoutConfiguration),
                   Reason + "\n");
}

void RequestFlows::onCallerGone(HttpExchange &Exchange) {
  const auto Found = this->Numbers.find(&Exchange);
  if (Found == this->Numbers.end()) {
    return;
  }
  const RequestNumber Number = Found->second;
  RequestFlow &Flow = *this->find(Number);
  this->Uses.Counters.onCallerDisconnected();
  logEvent(LogLevel::Info, "caller_gone",
           {{"request", Flow.id()},
            {"after_ms", millisecondsText(this->Uses.Time.now() - Flow.terms().Received)}});
  this->erase(Flow);
  this->Uses.Decisions.onCallerGone(Number, this->Uses.Time.now());
  this->Uses.Settle();
}

RequestFlow *RequestFlows::find(RequestNumber Number) {
  const auto Found = this->Flows.find(Number);
  return Found == this->Flows.end() ? nullptr : Found->second.get();
}

void RequestFlows::erase(RequestFlow &Flow) {
  this->Numbers.erase(&Flow.exchange());
  const auto Found = this->Flows.find(Flow.number());
  this->Ended.add(std::move(Found->second));
  this->Flows.erase(Found);
}

void RequestFlows::apply(const SendAttempt &Order) {
  RequestFlow *Flow = this->find(Order.Request);
  if (!Flow) {
    return;
  }
  this->Uses.Counters.onAttempt(Flow->terms().Service, Order.Attempt > 0);
  if (Order.Forward) {
    logEvent(LogLevel::Info, "forwarded", forwardedFields(Flow->id(), Order));
  } else {
    logEvent(LogLevel::Info, "sent", sentFields(Flow->id(), Order));
  }
  Flow->startAttempt(this->Uses.Connections, this->Uses.Protocol, Order,
                     Order.Deadline - this->Uses.Time.now());
}

void RequestFlows::apply(const CancelAttempt &Order) {
  if (RequestFlow *Flow = this->find(Order.Request)) {
    logEvent(LogLevel::Info, "cancelled",
             {{"request", Flow->id()}, {"attempt", std::to_string(Order.Attempt)}});
    Flow->cancelAttempt(Order.Attempt);
  }
}

void RequestFlows::apply(const DeliverAnswer &Order) {
  if (RequestFlow *Flow = this->find(Order.Request)) {
    Flow->deliver(Order.Attempt);
  }
}

void RequestFlows::apply(const RefuseRequest &Order) {
  RequestFlow *Flow = this->find(Order.Request);
  if (!Flow) {
    return;
  }
  const int Status = statusOf(Order.Kind);
  this->Uses.Counters.onRefused(Order.Reason, Status);
  logEvent(LogLevel::Info, "refused",
           {{"request", Flow->id()},
            {"kind", toString(Order.Kind)},
            {"reason", Order.Reason},
            {"retry_after_s", secondsText(Order.RetryAfter)},
            {"queued", std::to_string(this->Uses.Decisions.queueLength())}});
  Flow->refuse(ownAnswer(Status, Order.RetryAfter), Order.Reason + "\n");
}

void RequestFlows::refuseAll() {
  std::vector<RequestNumber> Numbers;
  for (const auto &[Number, Flow] : this->Flows) {
    Numbers.push_back(Number);
  }
  for (const RequestNumber Number : Numbers) {
    RequestFlow *Flow = this->find(Number);
    if (!Flow || Flow->isCommitted()) {
      continue;
    }
    this->Uses.Counters.onRefused("the entry ends", GatewayTimeout);
    logEvent(LogLevel::Warning, "refused", {{"request", Flow->id()}, {"reason", "entry ends"}});
    Flow->refuse(ownAnswer(GatewayTimeout, Duration(0)), "the entry ends\n");
    this->Uses.Decisions.onCallerGone(Number, this->Uses.Time.now());
  }
  this->Uses.Settle();
}

void RequestFlows::onAttemptEnd(RequestFlow &Flow, AttemptNumber Attempt, const AttemptEnd &End,
                                const std::string &Detail) {
  this->Uses.Counters.onAttemptEnd(Flow.terms().Service, End.Outcome);
  logEvent(LogLevel::Info, "attempt_ended",
           {{"request", Flow.id()},
            {"attempt", std::to_string(Attempt)},
            {"outcome", toString(End.Outcome)},
            {"detail", Detail},
            {"after_ms", millisecondsText(this->Uses.Time.now() - Flow.terms().Received)}});
  this->Uses.Decisions.onAttemptEnd(Flow.number(), Attempt, End, this->Uses.Time.now());
  this->Uses.Settle();
}

void RequestFlows::onCommitted(RequestFlow &Flow, AttemptNumber Attempt) {
  this->Uses.Decisions.onAnswerCommitted(Flow.number(), Attempt, this->Uses.Time.now());
  this->Uses.Settle();
}

void RequestFlows::onDone(RequestFlow &Flow, int Status, bool Complete) {
  const TimePoint Now = this->Uses.Time.now();
  const Duration Latency = Now - Flow.terms().Received;
  this->Uses.Counters.onResponse(Flow.terms().Service, Status, Latency, Now);
  logEvent(LogLevel::Info, "answered",
           {{"request", Flow.id()},
            {"status", std::to_string(Status)},
            {"complete", Complete ? "yes" : "no"},
            {"route", Flow.terms().Route.str()},
            {"service", Flow.terms().Service.str()},
            {"after_ms", millisecondsText(Latency)}});
  if (this->find(Flow.number()) == &Flow) {
    this->erase(Flow);
  }
}

} // namespace anvilsaddle
