#pragma once

#include "coordination/DispatchTypes.h"
#include "coordination/RouteTable.h"
#include "state/Configuration.h"
#include "transport/ActiveRequest.h"
#include "transport/DeferredDeletion.h"
#include "transport/HttpExchange.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvilsaddle {

class Clock;
class Dispatcher;
class ExchangeProtocol;
class Metrics;
class RandomSource;
class ConnectionPool;

/// The requests of all callers: finds their routes, asks the dispatcher for decisions and carries
/// them out. Not thread-safe.
class ProxyHandler final : public HttpHandler {
public:
  struct Parts {
    Dispatcher &Decisions;
    ConnectionPool &Connections;
    const ExchangeProtocol &Protocol;
    Metrics &Counters;
    const Clock &Time;
    RandomSource &Random;
    /// Is called after events that may have led to decisions.
    std::function<void()> Settle;
  };

  /// Precondition: all parts outlive the object.
  explicit ProxyHandler(Parts Uses);
  ~ProxyHandler() override;
  ProxyHandler(const ProxyHandler &) = delete;
  ProxyHandler &operator=(const ProxyHandler &) = delete;

  /// Requests from now on follow this configuration; those under way keep theirs.
  void setConfiguration(const Configuration &Settings);
  const Configuration *configuration() const { return this->Settings ? &*this->Settings : nullptr; }
  const RouteTable *routes() const { return this->Routes ? &*this->Routes : nullptr; }
  /// From now on new requests are refused as not run, because the entry ends.
  void rejectNewRequests() { this->Refusing = true; }
  /// Answers all requests that are still under way, because the entry ends.
  void failPendingRequests();
  std::size_t size() const { return this->Flows.size(); }

  void apply(const SendAttempt &Order);
  void apply(const CancelAttempt &Order);
  void apply(const DeliverAnswer &Order);
  void apply(const RefuseRequest &Order);

  void onRequest(HttpExchange &Exchange) override;
  /// Takes a request that an entry of another region passes on.
  void onForwardedRequest(HttpExchange &Exchange);
  void onCallerDisconnected(HttpExchange &Exchange) override;

private:
  void take(HttpExchange &Exchange, const std::optional<ForwardTerms> &Forward);
  std::optional<RequestTerms> makeTerms(const HttpExchange &Exchange,
                                        const std::optional<Duration> &Remaining);
  void refuseUnrouted(HttpExchange &Exchange, const std::string &Id);
  ActiveRequest *find(RequestNumber Number);
  void erase(ActiveRequest &Flow);
  void onAttemptEnd(ActiveRequest &Flow, AttemptNumber Attempt, const AttemptEnd &End,
                    const std::string &Detail);
  void onCommitted(ActiveRequest &Flow, AttemptNumber Attempt);
  void onDone(ActiveRequest &Flow, int Status, bool Complete);

  Parts Uses;
  ActiveRequest::Events Reports;
  std::optional<Configuration> Settings;
  std::optional<RouteTable> Routes;
  RequestNumber LastNumber = 0;
  bool Refusing = false;
  std::map<RequestNumber, std::unique_ptr<ActiveRequest>> Flows;
  std::map<const HttpExchange *, RequestNumber> Numbers;
  /// Ended flows whose functions may still be running.
  DeferredDeletion<ActiveRequest> Ended;
};

} // namespace anvilsaddle
