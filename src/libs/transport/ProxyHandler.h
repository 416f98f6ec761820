#pragma once

#include "coordination/customers/CustomerTable.h"
#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/RouteTable.h"
#include "state/Configuration.h"
#include "transport/ActiveRequest.h"
#include "transport/DeferredDeletion.h"
#include "transport/HttpExchange.h"
#include "transport/RequestAuthentication.h"
#include "transport/RoutingRejections.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace anvilsaddle {

class Clock;
class CustomerQuotas;
struct QuotaDecision;
class Dispatcher;
class MessageAuthenticator;
class RequestMetadataProtocol;
class Metrics;
class RandomSource;
class ConnectionPool;

/// Handles the requests of all callers: matches each request to a route, reports events to the
/// dispatcher and applies the dispatcher's commands. Not thread-safe.
class ProxyHandler final : public HttpHandler {
public:
  struct Dependencies {
    Dispatcher &RequestDispatcher;
    ConnectionPool &Pool;
    const RequestMetadataProtocol &Protocol;
    Metrics &RequestMetrics;
    const Clock &Time;
    RandomSource &Random;
    CustomerQuotas &Quotas;
    /// Applies the pending effects of the dispatcher. Called after each event that may have caused
    /// any.
    std::function<void()> ApplyEffects;
    /// Signs the customers of forwarded requests with the fleet key.
    const MessageAuthenticator &Authenticator;
    /// Account of the memory that responses take. Without one it is not limited.
    std::shared_ptr<MemoryAccount> Memory = nullptr;
  };

  /// Precondition: all dependencies outlive this object.
  explicit ProxyHandler(Dependencies Deps);
  ~ProxyHandler() override;
  ProxyHandler(const ProxyHandler &) = delete;
  ProxyHandler &operator=(const ProxyHandler &) = delete;

  /// Applies to new requests; requests that are already in progress keep their route,
  /// limits and customer, also if the customer's key is revoked.
  void setConfiguration(const Configuration &NewConfiguration);
  const Configuration *configuration() const {
    return this->CurrentConfiguration ? &*this->CurrentConfiguration : nullptr;
  }
  /// Null without a configuration.
  const CustomerTable *customers() const { return this->Customers ? &*this->Customers : nullptr; }
  const RouteTable *routes() const { return this->Routes ? &*this->Routes : nullptr; }
  /// Sets the time up to which the publications are known; nothing before the first confirmation.
  void setKnownAsOf(std::optional<TimePoint> Value) { this->Rejections.setKnownAsOf(Value); }
  /// Called when the entry shuts down: from now on, new requests get status 503, which tells the
  /// caller that they did not run.
  void rejectNewRequests() { this->RejectsNewRequests = true; }
  /// Called when the entry shuts down: responds to all requests in progress whose response has not
  /// started. Those that no target has executed get status 503, so that callers may repeat them.
  void failPendingRequests();
  std::size_t size() const { return this->Requests.size(); }

  void apply(const SendAttempt &Command);
  void apply(const CancelAttempt &Command);
  void apply(const DeliverResponse &Command);
  void apply(const AbortResponse &Command);
  void apply(const RefuseRequest &Command);
  void apply(const HedgeWithheld &Event);

  std::optional<HeadRejection> onHead(const RequestHead &Head) override;
  void onRequest(HttpExchange &Exchange) override;
  /// Handles a request that an entry of another region forwards.
  void onForwardedRequest(HttpExchange &Exchange);
  void onCallerDisconnected(HttpExchange &Exchange, CloseReason Reason) override;
  void onUnanswered(const UnansweredRequest &Request) override;
  void onRejected(const RejectedRequest &Request) override;

private:
  void handleRequest(HttpExchange &Exchange, const std::optional<ForwardOptions> &Forward);
  RequestAttributes makeAttributes(const HttpExchange &Exchange, const Route &MatchedRoute,
                                   const CustomerName &Customer,
                                   const std::optional<Duration> &RemainingTime) const;
  const Route *findRoute(const RequestHead &Head) const;
  /// Header fields that tell a target or another entry the customer of a request.
  FieldList customerFields(const ActiveRequest &Request, const SendAttempt &Command) const;
  /// Decides whether a caller's request is within the quota of its customer, and rejects it if it
  /// is not. Returns false if it was rejected.
  bool admitToQuota(HttpExchange &Exchange, const std::string &Id, const CustomerName &Customer);
  ActiveRequest *find(RequestNumber Number);
  /// Removes the request from those in progress, before the connection may delete its exchange.
  void onExchangeReleased(ActiveRequest &Request, const HttpExchange &Exchange);
  void onAttemptEnd(ActiveRequest &Request, AttemptNumber Attempt, const AttemptResult &End,
                    const std::string &Detail);
  bool onCommitted(ActiveRequest &Request, const RequestAttempt &Attempt);
  /// Ends a response that has begun and can't be completed. `Reason` is from a fixed set of texts.
  void abortResponse(ActiveRequest &Request, RefusalKind Kind, const std::string &Reason,
                     const std::string &Detail);
  void onResponseEnd(ActiveRequest &Request, int Status, bool Complete);

  Dependencies Deps;
  RequestAuthentication Authentication;
  RoutingRejections Rejections;
  AttemptResources Resources;
  ActiveRequest::Callbacks RequestCallbacks;
  std::optional<Configuration> CurrentConfiguration;
  std::optional<RouteTable> Routes;
  std::optional<CustomerTable> Customers;
  RequestNumber LastNumber = 0;
  /// Routes of the current configuration of which a response was too large to be buffered.
  std::set<RouteName> StreamedRoutes;
  bool RejectsNewRequests = false;
  std::map<RequestNumber, std::unique_ptr<ActiveRequest>> Requests;
  std::map<const HttpExchange *, RequestNumber> NumberByExchange;
  /// Ended requests that may still have functions on the call stack.
  DeferredDeletion<ActiveRequest> EndedRequests;
};

} // namespace anvilsaddle
