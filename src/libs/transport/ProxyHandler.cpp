#include "transport/ProxyHandler.h"

#include "coordination/RandomSource.h"
#include "coordination/dispatch/Dispatcher.h"
#include "coordination/limits/CustomerQuotas.h"
#include "protocol/ForwardedCustomer.h"
#include "protocol/Metrics.h"
#include "protocol/RequestMetadataProtocol.h"
#include "transport/Clock.h"
#include "transport/EventLog.h"
#include "transport/LocalResponse.h"
#include "transport/RequestLogFields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr int BadRequest = 400;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
/// Short, because another entry can accept the request immediately.
constexpr Duration RetryAfterShutdown = 50ms;

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

/// True if this entry routes a forwarded request to the service that the first entry chose.
/// `MatchedRoute` is null if no route matches here; the service is empty if an entry of an earlier
/// version forwards the request.
bool isRoutedAlike(const Route *MatchedRoute, const ServiceName &Service) {
  return MatchedRoute &&
         (Service.empty() ||
          std::any_of(MatchedRoute->Services.begin(), MatchedRoute->Services.end(),
                      [&Service](const WeightedService &Each) { return Each.Service == Service; }));
}

void reject(HttpExchange &Exchange, HeadRejection Rejection) {
  Exchange.respond(std::move(Rejection.Head), Rejection.Text);
}

} // namespace

ProxyHandler::ProxyHandler(Dependencies Deps)
    : Deps(std::move(Deps)), Authentication(this->Deps.Protocol, this->Deps.Authenticator),
      Rejections(this->Deps.RequestMetrics, this->Deps.Time), Resources{this->Deps.Pool,
                                                                        this->Deps.Protocol,
                                                                        this->Deps.Memory} {
  this->RequestCallbacks.OnAttemptEnd =
      [this](ActiveRequest &Request, AttemptNumber Attempt, const AttemptResult &End,
             const std::string &Detail) { this->onAttemptEnd(Request, Attempt, End, Detail); };
  this->RequestCallbacks.OnCommitted = [this](ActiveRequest &Request,
                                              const RequestAttempt &Attempt) {
    return this->onCommitted(Request, Attempt);
  };
  this->RequestCallbacks.OnTruncated = [this](ActiveRequest &Request, const std::string &Detail) {
    this->abortResponse(Request, RefusalKind::TargetFailed, "the response is incomplete", Detail);
  };
  this->RequestCallbacks.OnExchangeReleased = [this](ActiveRequest &Request,
                                                     const HttpExchange &Exchange) {
    this->onExchangeReleased(Request, Exchange);
  };
  this->RequestCallbacks.OnResponseEnd = [this](ActiveRequest &Request, int Status, bool Complete) {
    this->onResponseEnd(Request, Status, Complete);
  };
}

ProxyHandler::~ProxyHandler() = default;

void ProxyHandler::setConfiguration(const Configuration &NewConfiguration) {
  this->Routes.reset();
  this->Customers.reset();
  this->CurrentConfiguration = NewConfiguration;
  this->Rejections.setVersion(NewConfiguration.Version);
  this->Routes.emplace(*this->CurrentConfiguration);
  std::set<RouteName> Names;
  for (const Route &Each : this->CurrentConfiguration->Routes) {
    Names.insert(Each.Name);
  }
  std::erase_if(this->StreamedRoutes,
                [&Names](const RouteName &Each) { return !Names.contains(Each); });
  this->Customers.emplace(*this->CurrentConfiguration);
}

const Route *ProxyHandler::findRoute(const RequestHead &Head) const {
  return this->Routes ? this->Routes->find(findField(Head.Fields, "Host"), Head.RequestTarget)
                      : nullptr;
}

RequestAttributes ProxyHandler::makeAttributes(const HttpExchange &Exchange,
                                               const Route &MatchedRoute,
                                               const CustomerName &Customer,
                                               const std::optional<Duration> &RemainingTime) const {
  RequestAttributes Result;
  Result.ConfigurationVersion = this->CurrentConfiguration->Version;
  Result.Route = MatchedRoute.Name;
  Result.Idempotent = MatchedRoute.Idempotent;
  Result.Priority = MatchedRoute.Priority;
  Result.MaxTargets = std::max<std::uint32_t>(1, MatchedRoute.MaxTargets);
  Result.Customer = Customer;
  if (const auto *Known = this->Customers->find(Customer)) {
    Result.Priority = Known->Priority.value_or(Result.Priority);
  }
  Result.ReceivedAt = Exchange.received();
  Result.Objective = MatchedRoute.LatencyObjective;
  Result.Deadline = Result.ReceivedAt +
                    std::min(MatchedRoute.Timeout, RemainingTime.value_or(MatchedRoute.Timeout));
  return Result;
}

std::optional<HeadRejection> ProxyHandler::onHead(const RequestHead &Head) {
  if (this->RejectsNewRequests || !this->CurrentConfiguration) {
    return std::nullopt;
  }
  const Route *MatchedRoute = this->findRoute(Head);
  const AuthenticationDecision Decision =
      RequestAuthentication::check(Head, *this->Customers, MatchedRoute && MatchedRoute->IsPublic);
  if (Decision.IsAccepted) {
    return std::nullopt;
  }
  return this->Rejections.unauthenticated(this->Deps.Protocol.readRequest(Head).RequestId,
                                          Decision.Reason, false);
}

void ProxyHandler::onRequest(HttpExchange &Exchange) {
  this->handleRequest(Exchange, std::nullopt);
}

void ProxyHandler::onForwardedRequest(HttpExchange &Exchange) {
  const auto Forward = Exchange.takeForwardOptions();
  if (!Forward) {
    logEvent(LogLevel::Warning, "forward_unreadable",
             {{"request", this->Deps.Protocol.readRequest(Exchange.head()).RequestId}});
    Exchange.respond(localResponse(BadRequest, Duration(0)), "the forward mark can't be read\n");
    return;
  }
  this->handleRequest(Exchange, Forward);
}

void ProxyHandler::handleRequest(HttpExchange &Exchange,
                                 const std::optional<ForwardOptions> &Forward) {
  const RequestMetadata Metadata = this->Deps.Protocol.readRequest(Exchange.head());
  if (this->RejectsNewRequests) {
    this->Deps.RequestMetrics.onRefused("the entry ends", Unavailable);
    logEvent(LogLevel::Info, "refused",
             {{"request", Metadata.RequestId}, {"reason", "entry ends"}});
    Exchange.respond(localResponse(Unavailable, RetryAfterShutdown), "the entry ends\n");
    return;
  }
  if (!this->CurrentConfiguration) {
    reject(Exchange, this->Rejections.unrouted(Metadata.RequestId));
    return;
  }
  const Route *MatchedRoute = this->findRoute(Exchange.head());
  // Before the check of the route, so that callers without a key don't learn which routes exist.
  const AuthenticationDecision Decision =
      Forward ? this->Authentication.acceptForwarded(Exchange.head(), *this->Customers,
                                                     Metadata.RequestId)
              : this->Authentication.accept(Exchange.head(), *this->Customers,
                                            MatchedRoute && MatchedRoute->IsPublic);
  if (!Decision.IsAccepted) {
    reject(Exchange, this->Rejections.unauthenticated(Metadata.RequestId, Decision.Reason,
                                                      Forward.has_value()));
    return;
  }
  if (!MatchedRoute && !Forward) {
    reject(Exchange, this->Rejections.unrouted(Metadata.RequestId));
    return;
  }
  if (Forward && !isRoutedAlike(MatchedRoute, Forward->Service)) {
    reject(Exchange, this->Rejections.routedDifferently(Metadata.RequestId, Forward->Service));
    return;
  }
  // Without restrictions if there is no customer, or if only the other entry knows it.
  static const Customer Unrestricted;
  const Customer *KnownCustomer = this->Customers->find(Decision.Customer);
  const Customer &Applied = KnownCustomer ? *KnownCustomer : Unrestricted;
  const auto HomeRegions = commonHomeRegions(MatchedRoute->HomeRegions, Applied.HomeRegions);
  if (!HomeRegions) {
    if (!Forward) {
      this->Deps.RequestMetrics.onCustomerRefused(Decision.Customer);
    }
    reject(Exchange, this->Rejections.withoutRegion(Metadata.RequestId, *MatchedRoute, Applied));
    return;
  }
  RequestAttributes Attributes =
      this->makeAttributes(Exchange, *MatchedRoute, Decision.Customer, Metadata.RemainingTime);
  Attributes.HomeRegions = *HomeRegions;
  Attributes.Service = Forward && !Forward->Service.empty()
                           ? Forward->Service
                           : chooseService(*MatchedRoute, this->Deps.Random.uniform());
  if (!Forward) {
    // A forwarded request states the time until the route's timeout instead.
    Attributes.CallerTimeLeft = Metadata.RemainingTime;
  } else {
    Attributes.CameFromOtherEntry = true;
    Attributes.MayQueue = Forward->MayQueue;
    Attributes.MaxTargets = std::min(Attributes.MaxTargets, Forward->MaxTargets);
    // The latency objective is measured from the arrival at the first entry.
    Attributes.ReceivedAt -= Forward->Elapsed;
  }
  if (!Forward && !Attributes.Customer.empty()) {
    if (!this->admitToQuota(Exchange, Metadata.RequestId, Attributes.Customer)) {
      return;
    }
    this->Deps.RequestMetrics.onCustomerAdmitted(Attributes.Customer);
  }
  if (MatchedRoute->HasLargeResponses || this->StreamedRoutes.contains(MatchedRoute->Name)) {
    Exchange.holdLaterRequests();
  }
  const RequestNumber Number = ++this->LastNumber;
  this->Requests[Number] = std::make_unique<ActiveRequest>(
      Number, Exchange, Attributes, Metadata.RequestId, this->RequestCallbacks);
  this->NumberByExchange[&Exchange] = Number;
  this->Deps.RequestDispatcher.onRequest(Number, std::move(Attributes), this->Deps.Time.now());
  this->Deps.ApplyEffects();
}

FieldList ProxyHandler::customerFields(const ActiveRequest &Request,
                                       const SendAttempt &Command) const {
  const CustomerName &Name = Request.attributes().Customer;
  if (Command.Forward) {
    return forwardedCustomerFields(Request.head(), Request.id(), Name, this->Deps.Authenticator);
  }
  if (Name.empty()) {
    return {};
  }
  return {{std::string(this->Deps.Protocol.customerFieldName()), Name.str()}};
}

bool ProxyHandler::admitToQuota(HttpExchange &Exchange, const std::string &Id,
                                const CustomerName &Customer) {
  const QuotaDecision Decision = this->Deps.Quotas.admit(Customer, this->Deps.Time.now());
  this->Deps.RequestMetrics.onQuotaDecision(Decision.IsAdmitted);
  if (Decision.IsAdmitted) {
    return true;
  }
  const std::string Reason = toString(Decision.Reason);
  this->Deps.RequestMetrics.onRefused(Reason, TooManyRequests);
  this->Deps.RequestMetrics.onCustomerRefused(Customer);
  logEvent(LogLevel::Info, "refused", overQuotaLogFields(Id, Customer, Decision));
  Exchange.respond(localResponse(TooManyRequests, Decision.RetryAfter), Reason + "\n");
  // The report of this decision is due at a later time.
  this->Deps.ApplyEffects();
  return false;
}

void ProxyHandler::onCallerDisconnected(HttpExchange &Exchange, CloseReason Reason) {
  const auto Found = this->NumberByExchange.find(&Exchange);
  if (Found == this->NumberByExchange.end()) {
    return;
  }
  const RequestNumber Number = Found->second;
  ActiveRequest &Request = *this->find(Number);
  this->Deps.RequestMetrics.onCallerDisconnected();
  logEvent(
      LogLevel::Info, "caller_gone",
      {{"request", Request.id()},
       {"reason", toString(Reason)},
       {"after_ms", formatMilliseconds(this->Deps.Time.now() - Request.attributes().ReceivedAt)}});
  Request.onCallerDisconnected();
  this->Deps.RequestDispatcher.onCallerDisconnected(Number, this->Deps.Time.now());
  this->Deps.ApplyEffects();
}

void ProxyHandler::onUnanswered(const UnansweredRequest &Request) {
  logEvent(LogLevel::Info, "unanswered",
           {{"request", this->Deps.Protocol.readRequest(Request.Head).RequestId},
            {"caller", Request.Caller},
            {"reason", toString(Request.Reason)},
            {"stage", toString(Request.Stage)}});
}

void ProxyHandler::onRejected(const RejectedRequest &Request) {
  this->Deps.RequestMetrics.onRefused(Request.Reason, Request.Status);
  logEvent(LogLevel::Info, "refused",
           {{"request", this->Deps.Protocol.readRequest(Request.Head).RequestId},
            {"reason", Request.Reason},
            {"status", std::to_string(Request.Status)},
            {"caller", Request.Caller},
            {"received_bytes", std::to_string(Request.ReceivedBytes)},
            {"held_bytes", std::to_string(Request.HeldBytes)},
            {"limit_bytes", std::to_string(Request.LimitBytes)}});
}

ActiveRequest *ProxyHandler::find(RequestNumber Number) {
  const auto Found = this->Requests.find(Number);
  return Found == this->Requests.end() ? nullptr : Found->second.get();
}

void ProxyHandler::onExchangeReleased(ActiveRequest &Request, const HttpExchange &Exchange) {
  this->NumberByExchange.erase(&Exchange);
  const auto Found = this->Requests.find(Request.number());
  this->EndedRequests.add(std::move(Found->second));
  this->Requests.erase(Found);
}

void ProxyHandler::apply(const SendAttempt &Command) {
  ActiveRequest *Request = this->find(Command.Request);
  if (!Request) {
    return;
  }
  this->Deps.RequestMetrics.onAttempt(Request->attributes().Service, Command.Attempt > 0);
  if (Command.Forward) {
    logEvent(LogLevel::Info, "forwarded",
             withCustomer(forwardedLogFields(*Request, Command), Request->attributes().Customer));
  } else {
    logEvent(LogLevel::Info, "sent", sentLogFields(Request->id(), Command));
  }
  Request->startAttempt(this->Resources, Command, Command.Deadline - this->Deps.Time.now(),
                        this->customerFields(*Request, Command));
}

void ProxyHandler::apply(const CancelAttempt &Command) {
  if (ActiveRequest *Request = this->find(Command.Request)) {
    logEvent(LogLevel::Info, "cancelled",
             {{"request", Request->id()}, {"attempt", std::to_string(Command.Attempt)}});
    Request->cancelAttempt(Command.Attempt);
  }
}

void ProxyHandler::apply(const DeliverResponse &Command) {
  if (ActiveRequest *Request = this->find(Command.Request)) {
    Request->deliver(Command.Attempt);
  }
}

void ProxyHandler::apply(const AbortResponse &Command) {
  if (ActiveRequest *Request = this->find(Command.Request)) {
    this->abortResponse(*Request, Command.Kind, Command.Reason, {});
  }
}

void ProxyHandler::abortResponse(ActiveRequest &Request, RefusalKind Kind,
                                 const std::string &Reason, const std::string &Detail) {
  const int Status = statusFor(Kind);
  const bool IsReplaced = Request.abort(localResponse(Status, Duration(0)), Reason + "\n");
  if (IsReplaced) {
    this->Deps.RequestMetrics.onRefused(Reason, Status);
  }
  logEvent(LogLevel::Info, "aborted",
           {{"request", Request.id()},
            {"reason", Reason},
            {"detail", Detail},
            {"kind", toString(Kind)},
            {"sent_in_part", IsReplaced ? "no" : "yes"}});
}

void ProxyHandler::apply(const RefuseRequest &Command) {
  ActiveRequest *Request = this->find(Command.Request);
  if (!Request) {
    return;
  }
  const int Status = statusFor(Command.Kind);
  this->Deps.RequestMetrics.onRefused(Command.Reason, Status);
  const RequestAttributes &Attributes = Request->attributes();
  if (!Attributes.CameFromOtherEntry && !Attributes.Customer.empty()) {
    this->Deps.RequestMetrics.onCustomerRefused(Attributes.Customer);
    if (Command.Kind == RefusalKind::NotExecuted) {
      this->Deps.Quotas.refund(Attributes.Customer, this->Deps.Time.now());
    }
  }
  logEvent(LogLevel::Info, "refused",
           {{"request", Request->id()},
            {"kind", toString(Command.Kind)},
            {"reason", Command.Reason},
            {"retry_after_s", formatSeconds(Command.RetryAfter)},
            {"queued", std::to_string(this->Deps.RequestDispatcher.queueLength())},
            {"time_left_ms", formatMilliseconds(Command.Details.TimeLeft)},
            {"expected_wait_ms", formatMilliseconds(Command.Details.ExpectedWait)},
            {"expected_time_ms", formatMilliseconds(Command.Details.ExpectedTime)},
            {"deferrals", std::to_string(Command.Details.DeferralCount)},
            {"caller_elapsed_ms", formatMilliseconds(Command.Details.CallerElapsed)}});
  Request->reject(localResponse(Status, Command.RetryAfter), Command.Reason + "\n");
}

void ProxyHandler::apply(const HedgeWithheld &Event) {
  if (const ActiveRequest *Request = this->find(Event.Request)) {
    LogFields Fields{{"request", Request->id()}, {"reason", toString(Event.Obstacle)}};
    addHedgeInputs(Fields, Event.Inputs);
    logEvent(LogLevel::Info, "hedge_withheld", Fields);
  }
}

void ProxyHandler::failPendingRequests() {
  const TimePoint Now = this->Deps.Time.now();
  this->Deps.RequestDispatcher.beginShutdown(Now, Now);
  this->Deps.RequestDispatcher.onTick(Now);
  this->Deps.ApplyEffects();
}

void ProxyHandler::onAttemptEnd(ActiveRequest &Request, AttemptNumber Attempt,
                                const AttemptResult &End, const std::string &Detail) {
  this->Deps.RequestMetrics.onAttemptEnd(Request.attributes().Service, End.Outcome);
  logEvent(
      LogLevel::Info, "attempt_ended",
      {{"request", Request.id()},
       {"attempt", std::to_string(Attempt)},
       {"outcome", toString(End.Outcome)},
       {"detail", Detail},
       {"after_ms", formatMilliseconds(this->Deps.Time.now() - Request.attributes().ReceivedAt)}});
  this->Deps.RequestDispatcher.onAttemptEnd(Request.number(), Attempt, End, this->Deps.Time.now());
  this->Deps.ApplyEffects();
}

bool ProxyHandler::onCommitted(ActiveRequest &Request, const RequestAttempt &Attempt) {
  this->StreamedRoutes.insert(Request.attributes().Route);
  const bool IsCommitted = this->Deps.RequestDispatcher.onResponseCommitted(
      Request.number(), Attempt.command().Attempt, Attempt.conditions(), this->Deps.Time.now());
  this->Deps.ApplyEffects();
  return IsCommitted;
}

void ProxyHandler::onResponseEnd(ActiveRequest &Request, int Status, bool Complete) {
  const TimePoint Now = this->Deps.Time.now();
  const Duration Latency = Now - Request.attributes().ReceivedAt;
  this->Deps.RequestMetrics.onResponse(Request.attributes().Service, Status, Latency, Now);
  logEvent(LogLevel::Info, "answered",
           withCustomer({{"request", Request.id()},
                         {"status", std::to_string(Status)},
                         {"complete", Complete ? "yes" : "no"},
                         {"route", Request.attributes().Route.str()},
                         {"service", Request.attributes().Service.str()},
                         {"version", std::to_string(Request.attributes().ConfigurationVersion)},
                         {"after_ms", formatMilliseconds(Latency)}},
                        Request.attributes().Customer));
  this->Deps.RequestDispatcher.onCommittedResponseEnd(Request.number(), Now);
  this->Deps.ApplyEffects();
}

} // namespace anvilsaddle
