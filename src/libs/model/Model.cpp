#include "model/Model.h"

#include "model/DispatcherPolicy.h"
#include "model/EventScheduler.h"
#include "model/IdealPolicy.h"
#include "model/ModelTargets.h"
#include "model/RandomPolicy.h"
#include "model/SeededRandom.h"

#include <cmath>
#include <memory>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr const char *DispatcherPolicyName = "dispatcher";
constexpr const char *IdealPolicyName = "ideal";
constexpr const char *RandomPolicyName = "random";
/// The simulation runs this long after the last deadline, so that responses after the deadline are
/// counted too.
constexpr Duration ResponseGracePeriod = std::chrono::seconds(1);
/// Length of the intervals in which requests are counted. A request counts in the interval in which
/// its caller first sent it. It is also the time unit of the arrival rate.
constexpr Duration CountInterval = std::chrono::seconds(1);

/// The callers of a scenario. They send requests at random times, wait no longer than the deadline,
/// and retry after a refusal.
class Callers {
public:
  Callers(const ModelScenario &Scenario, EventScheduler &Scheduler, ModelPolicy &Policy)
      : Scenario(Scenario), Scheduler(Scheduler), Policy(Policy), RequestRandom(Scenario.Seed),
        EntryRandom(Scenario.Seed + 2),
        CountsBySecond(static_cast<std::size_t>(Scenario.Length / CountInterval)) {}

  void start() { this->scheduleArrival(); }
  std::vector<OutcomeCounts> takeCounts() { return std::move(this->CountsBySecond); }

private:
  struct Caller {
    TimePoint FirstSentAt{};
    std::uint32_t RetriesLeft = 0;
    ModelRequest Request;
  };

  double arrivalRate() const {
    const Duration Time = this->Scheduler.now().time_since_epoch();
    const bool IsBurst = Time >= this->Scenario.BurstStart &&
                         Time < this->Scenario.BurstStart + this->Scenario.BurstLength;
    return this->Scenario.RequestsPerSecond * (IsBurst ? this->Scenario.BurstFactor : 1);
  }

  void scheduleArrival() {
    const double Gap = -std::log(1 - this->RequestRandom.uniform()) / this->arrivalRate();
    this->Scheduler.after(scaled(CountInterval, Gap), [this] { this->onArrival(); });
  }

  void onArrival() {
    const auto Index =
        static_cast<std::size_t>(this->Scheduler.now().time_since_epoch() / CountInterval);
    if (Index >= this->CountsBySecond.size()) {
      return;
    }
    ++this->CountsBySecond[Index].Requests;
    Caller NewCaller;
    NewCaller.FirstSentAt = this->Scheduler.now();
    NewCaller.RetriesLeft = this->Scenario.Retries;
    NewCaller.Request = this->makeRequest();
    this->sendRequest(NewCaller);
    this->scheduleArrival();
  }

  ModelRequest makeRequest() {
    ModelRequest Result;
    Result.Attributes.Route = RouteName("route");
    Result.Attributes.Idempotent = this->RequestRandom.uniform() < this->Scenario.IdempotentShare;
    Result.Attributes.MaxTargets = this->Scenario.MaxTargets;
    Result.Attributes.Objective = this->Scenario.Objective;
    const double Spread =
        (2 * this->RequestRandom.uniform() - 1) * this->Scenario.ProcessingTimeSpread;
    Result.ProcessingTime = scaled(this->Scenario.ProcessingTime, 1 + Spread);
    return Result;
  }

  void sendRequest(const Caller &Current) {
    ModelRequest Request = Current.Request;
    const std::uint32_t Entries =
        this->Scenario.Regions * this->Scenario.DomainsPerRegion * this->Scenario.EntriesPerDomain;
    Request.Entry = static_cast<std::size_t>(this->EntryRandom.uniform() * Entries);
    Request.Attributes.ReceivedAt = this->Scheduler.now();
    Request.Attributes.Deadline = Current.FirstSentAt + this->Scenario.TimeLimit;
    // The latency objective counts from the caller's first try.
    Request.Attributes.Objective -= this->Scheduler.now() - Current.FirstSentAt;
    Request.OnEnd = [this, Current](ModelOutcome Outcome, Duration RetryAfter) {
      this->onEnd(Current, Outcome, RetryAfter);
    };
    this->Policy.onRequest(std::move(Request));
  }

  void onEnd(const Caller &Current, ModelOutcome Outcome, Duration RetryAfter) {
    const TimePoint Now = this->Scheduler.now();
    const TimePoint Deadline = Current.FirstSentAt + this->Scenario.TimeLimit;
    OutcomeCounts &Counts = this->CountsBySecond[static_cast<std::size_t>(
        Current.FirstSentAt.time_since_epoch() / CountInterval)];
    if (Outcome == ModelOutcome::Refused && Current.RetriesLeft > 0 &&
        Now + RetryAfter < Deadline) {
      Caller Retry = Current;
      --Retry.RetriesLeft;
      this->Scheduler.after(RetryAfter, [this, Retry] { this->sendRequest(Retry); });
      return;
    }
    if (Outcome == ModelOutcome::Served && Now <= Deadline) {
      const bool MeetsObjective = Now - Current.FirstSentAt <= this->Scenario.Objective;
      ++(MeetsObjective ? Counts.WithinObjective : Counts.AfterObjective);
      return;
    }
    ++(Outcome == ModelOutcome::Refused ? Counts.Refused : Counts.Failed);
  }

  ModelScenario Scenario;
  EventScheduler &Scheduler;
  ModelPolicy &Policy;
  SeededRandom RequestRandom;
  /// Separate from `RequestRandom`, because the number of draws depends on the policy.
  SeededRandom EntryRandom;
  std::vector<OutcomeCounts> CountsBySecond;
};

} // namespace

const std::vector<std::string> &policyNames() {
  static const std::vector<std::string> Result = {DispatcherPolicyName, IdealPolicyName,
                                                  RandomPolicyName};
  return Result;
}

ModelResult simulate(const ModelScenario &Scenario, const std::string &Policy) {
  EventScheduler Scheduler;
  ModelTargets Targets(Scenario, Scheduler);
  // The policy has its own random source, so that its draws don't change the requests.
  SeededRandom Random(Scenario.Seed + 1);
  std::unique_ptr<ModelPolicy> ActivePolicy;
  DispatcherPolicy *DispatcherInUse = nullptr;
  if (Policy == DispatcherPolicyName) {
    auto Added = std::make_unique<DispatcherPolicy>(Scenario, Scheduler, Targets, Random);
    DispatcherInUse = Added.get();
    ActivePolicy = std::move(Added);
  } else if (Policy == IdealPolicyName) {
    ActivePolicy = std::make_unique<IdealPolicy>(Scenario, Scheduler, Targets);
  } else {
    ActivePolicy = std::make_unique<RandomPolicy>(Targets, Random);
  }
  Callers SimulatedCallers(Scenario, Scheduler, *ActivePolicy);
  SimulatedCallers.start();
  Scheduler.run(TimePoint(Scenario.Length + Scenario.TimeLimit + ResponseGracePeriod));
  ModelResult Result;
  Result.Policy = Policy;
  Result.CountsBySecond = SimulatedCallers.takeCounts();
  const std::uint32_t Requests = Result.total().Requests;
  if (DispatcherInUse && Requests > 0) {
    Result.ProbesPerRequest = static_cast<double>(DispatcherInUse->probeCount()) / Requests;
  }
  return Result;
}

} // namespace anvilsaddle
