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
class MetadataProtocol;
class Metrics;
class RandomSource;
class ConnectionPool;

/// The requests of all callers: finds their routes, asks the dispatcher for decisions and carries
/// them out. Not thread-safe.
class RequestFlows final : public HttpHandler {
public:
  struct Dependencies {
    Dispatcher &RequestDispatcher;
    ConnectionPool &Pool;
    const MetadataProtocol &Protocol;
    Metrics &RequestMetrics;
    const Clock &Time;
    RandomSource &Random;
    /// Is called after events that may have led to decisions.
    std::function<void()> ApplyEffects;
  };

  /// Precondition: all parts outlive the object.
  explicit RequestFlows(Dependencies Deps);
  ~RequestFlows() override;
  RequestFlows(const RequestFlows &) = delete;
  RequestFlows &operator=(const RequestFlows &) = delete;

  /// Requests from now on follow this configuration; those under way keep theirs.
  void setConfiguration(const Configuration &NewConfiguration);
  const Configuration *configuration() const {
    return this->CurrentConfiguration ? &*this->CurrentConfiguration : nullptr;
  }
  const RouteTable *routes() const { return this->Routes ? &*this->Routes : nullptr; }
  /// From now on new requests are refused as not run, because the entry ends.
  void rejectNewRequests() { this->RejectsNewRequests = true; }
  /// Answers all requests that are still under way, because the entry ends.
  void failPendingRequests();
  std::size_t size() const { return this->Flows.size(); }

  void apply(const SendAttempt &Command);
  void apply(const CancelAttempt &Command);
  void apply(const DeliverResponse &Command);
  void apply(const RefuseRequest &Command);

  void onRequest(HttpExchange &Exchange) override;
  /// Takes a request that an entry of another region passes on.
  void onForwardedRequest(HttpExchange &Exchange);
  void onCallerDisconnected(HttpExchange &Exchange) override;

private:
  void acceptRequest(HttpExchange &Exchange, const std::optional<ForwardOptions> &Forward);
  std::optional<RequestAttributes> makeAttributes(const HttpExchange &Exchange,
                                             const std::optional<Duration> &Remaining);
  void rejectUnrouted(HttpExchange &Exchange, const std::string &Id);
  RequestFlow *find(RequestNumber Number);
  void erase(RequestFlow &Flow);
  void onAttemptEnd(RequestFlow &Flow, AttemptNumber Attempt, const AttemptResult &End,
                    const std::string &Detail);
  void onCommitted(RequestFlow &Flow, AttemptNumber Attempt);
  void onResponseEnd(RequestFlow &Flow, int Status, bool Complete);

  Dependencies Deps;
  RequestFlow::Callbacks FlowCallbacks;
  std::optional<Configuration> CurrentConfiguration;
  std::optional<RouteTable> Routes;
  RequestNumber LastNumber = 0;
  bool RejectsNewRequests = false;
  std::map<RequestNumber, std::unique_ptr<RequestFlow>> Flows;
  std::map<const HttpExchange *, RequestNumber> NumberByExchange;
  /// Ended flows whose functions may still be running.
  DeferredDeletion<RequestFlow> EndedFlows;
};

} // namespace anvilsaddle
