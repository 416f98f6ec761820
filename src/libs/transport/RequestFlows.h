#pragma once

#include "coordination/DispatchTypes.h"
#include "coordination/RouteTable.h"
#include "state/Configuration.h"
#include "transport/DeferredDeletion.h"
#include "transport/HttpExchange.h"
#include "transport/RequestFlow.h"

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
class TargetConnections;

/// The requests of all callers: finds their routes, asks the dispatcher for decisions and carries
/// them out. Not thread-safe.
class RequestFlows final : public HttpHandler {
public:
  struct Parts {
    Dispatcher &Decisions;
    TargetConnections &Connections;
    const ExchangeProtocol &Protocol;
    Metrics &Counters;
    const Clock &Time;
    RandomSource &Random;
    /// Is called after events that may have led to decisions.
    std::function<void()> Settle;
  };

  /// Precondition: all parts outlive the object.
  explicit RequestFlows(Parts Uses);
  ~RequestFlows() override;
  RequestFlows(const RequestFlows &) = delete;
  RequestFlows &operator=(const RequestFlows &) = delete;

  /// Requests from now on follow this configuration; those under way keep theirs.
  void setConfiguration(const Configuration &Settings);
  const Configuration *configuration() const { return this->Settings ? &*this->Settings : nullptr; }
  const RouteTable *routes() const { return this->Routes ? &*this->Routes : nullptr; }
  /// From now on new requests are refused as not run, because the entry ends.
  void setRefusing() { this->Refusing = true; }
  /// Answers all requests that are still under way, because the entry ends.
  void refuseAll();
  std::size_t size() const { return this->Flows.size(); }

  void apply(const SendAttempt &Order);
  void apply(const CancelAttempt &Order);
  void apply(const DeliverAnswer &Order);
  void apply(const RefuseRequest &Order);

  void onRequest(HttpExchange &Exchange) override;
  /// Takes a request that an entry of another region passes on.
  void onForwarded(HttpExchange &Exchange);
  void onCallerGone(HttpExchange &Exchange) override;

private:
  void take(HttpExchange &Exchange, const std::optional<ForwardTerms> &Forward);
  std::optional<RequestTerms> makeTerms(const HttpExchange &Exchange,
                                        const std::optional<Duration> &Remaining);
  void refuseUnrouted(HttpExchange &Exchange, const std::string &Id);
  RequestFlow *find(RequestNumber Number);
  void erase(RequestFlow &Flow);
  void onAttemptEnd(RequestFlow &Flow, AttemptNumber Attempt, const AttemptEnd &End,
                    const std::string &Detail);
  void onCommitted(RequestFlow &Flow, AttemptNumber Attempt);
  void onDone(RequestFlow &Flow, int Status, bool Complete);

  Parts Uses;
  RequestFlow::Events Reports;
  std::optional<Configuration> Settings;
  std::optional<RouteTable> Routes;
  RequestNumber LastNumber = 0;
  bool Refusing = false;
  std::map<RequestNumber, std::unique_ptr<RequestFlow>> Flows;
  std::map<const HttpExchange *, RequestNumber> Numbers;
  /// Ended flows whose functions may still be running.
  DeferredDeletion<RequestFlow> Ended;
};

} // namespace anvilsaddle
