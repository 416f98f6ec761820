#pragma once

#include "coordination/Dispatcher.h"
#include "model/ModelPolicy.h"
#include "model/ModelScenario.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace anvilsaddle {

class ModelAgenda;
class ModelTargets;
class RandomSource;

/// The product: one Dispatcher for each entry, which learns of targets by probes and answers that
/// take their time, and passes requests on to entries of other regions. Not thread-safe.
class DispatcherPolicy final : public ModelPolicy {
public:
  /// Precondition: agenda, targets and random source outlive the policy.
  DispatcherPolicy(const ModelScenario &Scenario, ModelAgenda &Agenda, ModelTargets &Targets,
                   RandomSource &Random);

  void onRequest(ModelRequest Request) override;
  /// Probes of all entries so far.
  std::uint64_t probes() const { return this->ProbeCount; }

private:
  struct Entry {
    std::unique_ptr<Dispatcher> Decisions;
    std::uint32_t Domain = 0;
    RequestNumber LastNumber = 0;
    std::map<RequestNumber, ModelRequest> Requests;
    std::optional<TimePoint> Wakeup;
  };

  Topology placesOf(std::uint32_t Domain) const;
  std::uint32_t regionOf(std::uint32_t Domain) const {
    return Domain / this->Scenario.DomainsPerRegion;
  }
  Duration delay(std::uint32_t From, std::uint32_t To) const;
  std::uint32_t domainOfTarget(std::size_t Target) const {
    return static_cast<std::uint32_t>(Target) / this->Scenario.TargetsPerDomain;
  }
  void introduce(std::size_t Index);
  RequestNumber admit(std::size_t Index, ModelRequest Request);
  void settle(std::size_t Index);
  void carryOut(std::size_t Index, const ProbeTarget &Probe);
  void carryOut(std::size_t Index, const SendAttempt &Order);
  /// A target goes on with its work; the answer is ignored.
  void carryOut(std::size_t, const CancelAttempt &) {}
  void carryOut(std::size_t Index, const DeliverResponse &Answer);
  void carryOut(std::size_t Index, const RefuseRequest &Refusal);
  void passOn(std::size_t Index, const SendAttempt &Order);
  void endAttempt(std::size_t Index, const SendAttempt &Order, const AttemptResult &End);
  void end(std::size_t Index, RequestNumber Number, ModelOutcome Outcome, Duration RetryAfter);
  void planWakeup(std::size_t Index);

  ModelScenario Scenario;
  ModelAgenda &Agenda;
  ModelTargets &Targets;
  std::vector<Entry> Entries;
  std::uint64_t ProbeCount = 0;
};

} // namespace anvilsaddle
