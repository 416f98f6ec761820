#pragma once

#include "coordination/Dispatcher.h"
#include "model/SeededRandom.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// A dispatcher under a virtual clock. Targets answer as the test says.
class DispatchWorld {
public:
  /// How a target meets a probe: a report, a failure, or silence.
  using ProbePlan = std::variant<ProbeReport, ProbeFailure, std::monostate>;
  struct AttemptPlan {
    Duration Takes{std::chrono::milliseconds(100)};
    AttemptOutcome Outcome = AttemptOutcome::Succeeded;
  };
  /// How a request ended.
  struct Final {
    TimePoint Time;
    /// Set if an answer was delivered.
    std::optional<AttemptNumber> Delivered;
    std::optional<RefuseRequest> Refused;
  };
  struct SentAttempt {
    SendAttempt Order;
    TimePoint Time;
    bool Cancelled = false;
    std::optional<AttemptOutcome> Outcome;
  };

  explicit DispatchWorld(std::uint64_t Seed = 1);

  /// Failure domains `a1`, `a2` in region `a` (where the entry is: `a1`), and `b1`, `b2` in `b`.
  void addTarget(const std::string &Name, const std::string &Domain, bool Draining = false);
  void publish(const Publication &Change);
  /// Terms of a request of service `s` that arrives now.
  RequestAttributes terms(bool Idempotent = true) const;
  RequestNumber request(RequestAttributes Terms);
  void leave(RequestNumber Number);
  /// Runs all that happens up to a time from now.
  void run(Duration Time);

  const std::vector<SentAttempt> &sent() const { return this->Sent; }
  std::vector<SentAttempt> sentOf(RequestNumber Number) const;
  const Final *finalOf(RequestNumber Number) const;
  /// Name of the target of the only attempt of a request; empty if there is not exactly one.
  std::string onlyTarget(RequestNumber Number) const;

  TimePoint Now{std::chrono::seconds(100)};
  SeededRandom Random;
  Dispatcher Decisions;
  std::function<ProbePlan(const TargetName &)> OnProbe;
  std::function<AttemptPlan(const SendAttempt &)> OnSend;
  /// Load that comes with an answer; answers tell none if it is not set.
  std::function<LoadReport(const TargetName &)> OnAnswerLoad;
  std::size_t Probes = 0;
  /// Breaches of what a dispatcher's user relies on, for example a second final answer.
  std::vector<std::string> Faults;

private:
  void settle();
  void at(TimePoint Time, std::function<void()> Action);
  void probe(const ProbeTarget &Probe);
  void send(const SendAttempt &Order);
  void finish(RequestNumber Number, Final End);

  std::multimap<TimePoint, std::function<void()>> Agenda;
  std::vector<SentAttempt> Sent;
  std::map<RequestNumber, Final> Finals;
  std::set<RequestNumber> Gone;
  RequestNumber LastNumber = 0;
};

} // namespace anvilsaddle
