#pragma once

#include "coordination/dispatch/Dispatcher.h"
#include "model/ModelPolicy.h"
#include "model/ModelScenario.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace anvilsaddle {

class EventScheduler;
class ModelTargets;
class RandomSource;

/// The policy of anvilsaddled: one Dispatcher per entry, which learns the load of targets from
/// probes and responses that arrive with the network latency, and which forwards requests to
/// entries of other regions. Not thread-safe.
class DispatcherPolicy final : public ModelPolicy {
public:
  /// Precondition: the scheduler, the targets and the random source outlive the policy.
  DispatcherPolicy(const ModelScenario &Scenario, EventScheduler &Scheduler, ModelTargets &Targets,
                   RandomSource &Random);

  void onRequest(ModelRequest Request) override;
  /// Number of probes that all entries have sent so far.
  std::uint64_t probeCount() const { return this->ProbeCount; }

private:
  struct Entry {
    std::unique_ptr<Dispatcher> RequestDispatcher;
    std::uint32_t Domain = 0;
    RequestNumber LastNumber = 0;
    std::map<RequestNumber, ModelRequest> Requests;
    std::optional<TimePoint> Wakeup;
  };

  Topology topologyOf(std::uint32_t Domain) const;
  std::uint32_t regionOf(std::uint32_t Domain) const {
    return Domain / this->Scenario.DomainsPerRegion;
  }
  Duration oneWayDelay(std::uint32_t From, std::uint32_t To) const;
  std::uint32_t domainOfTarget(std::size_t Target) const {
    return static_cast<std::uint32_t>(Target) / this->Scenario.TargetsPerDomain;
  }
  void configureEntry(std::size_t Index);
  /// Lets each entry send its estimates to another one, again and again.
  void scheduleExchange();
  RequestNumber submit(std::size_t Index, ModelRequest Request);
  void applyEffects(std::size_t Index);
  void applyEffect(std::size_t Index, const ProbeTarget &Probe);
  void applyEffect(std::size_t Index, const SendAttempt &Send);
  /// The target completes the request; its response is ignored.
  void applyEffect(std::size_t, const CancelAttempt &) {}
  /// Responses of the model are never streamed.
  void applyEffect(std::size_t, const AbortResponse &) {}
  /// The model keeps no log.
  void applyEffect(std::size_t, const HedgeWithheld &) {}
  void applyEffect(std::size_t Index, const DeliverResponse &Delivery);
  void applyEffect(std::size_t Index, const RefuseRequest &Refusal);
  void forward(std::size_t Index, const SendAttempt &Send);
  void endAttempt(std::size_t Index, const SendAttempt &Send, const AttemptResult &End);
  void endRequest(std::size_t Index, RequestNumber Number, ModelOutcome Outcome,
                  Duration RetryAfter);
  void scheduleWakeup(std::size_t Index);

  ModelScenario Scenario;
  EventScheduler &Scheduler;
  ModelTargets &Targets;
  RandomSource &Random;
  std::vector<Entry> Entries;
  std::uint64_t ProbeCount = 0;
};

} // namespace anvilsaddle
