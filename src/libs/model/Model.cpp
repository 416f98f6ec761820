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
/// The simulation runs this long after the last deadline, so that late responses are counted.
constexpr Duration ResponseGracePeriod = std::chrono::seconds(1);
/// Requests are counted in the second in which their caller first sent them.
constexpr Duration CountInterval = std::chrono::seconds(1);

/// The callers of a scenario. They send requests at random times, wait no longer than the deadline,
/// and retry after a refusal.
class Callers {
public:
  Callers(const ModelScenario &Scenario, EventScheduler &Scheduler, ModelPolicy &Policy)
      : Scenario(Scenario), Scheduler(Scheduler), Policy(Policy), Arrivals(Scenario.Seed),
        EntryChoices(Scenario.Seed + 2),
        CountsBySecond(static_cast<std::size_t>(Scenario.Length / CountInterval)) {}

  void start() { this->scheduleArrival(); }
  std::vector<OutcomeCounts> takeCounts() { return std::move(this->CountsBySecond); }

private:
  struct Caller {
    TimePoint Arrived{};
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
    const double Gap = -std::log(1 - this->Arrivals.uniform()) / this->arrivalRate();
    this->Scheduler.after(scaled(CountInterval, Gap), [this] { this->onArrival(); });
  }

  void onArrival() {
    const auto Index =
        static_cast<std::size_t>(this->Scheduler.now().time_since_epoch() / CountInterval);
    if (Index >= this->CountsBySecond.size()) {
      return;
    }
    ++this->CountsBySecond[Index].Requests;
    Caller Arriving;
    Arriving.Arrived = this->Scheduler.now();
    Arriving.RetriesLeft = this->Scenario.Retries;
    Arriving.Request = this->makeRequest();
    this->sendRequest(Arriving);
    this->scheduleArrival();
  }

  ModelRequest makeRequest() {
    ModelRequest Result;
    Result.Terms.Route = RouteName("route");
    Result.Terms.Idempotent = this->Arrivals.uniform() < this->Scenario.IdempotentShare;
    Result.Terms.MaxTargets = this->Scenario.MaxTargets;
    Result.Terms.Objective = this->Scenario.Objective;
    const double Spread = (2 * this->Arrivals.uniform() - 1) * this->Scenario.WorkSpread;
    Result.Work = scaled(this->Scenario.Work, 1 + Spread);
    return Result;
  }

  void sendRequest(const Caller &Current) {
    ModelRequest Request = Current.Request;
    const std::uint32_t Entries =
        this->Scenario.Regions * this->Scenario.DomainsPerRegion * this->Scenario.EntriesPerDomain;
    Request.Entry = static_cast<std::size_t>(this->EntryChoices.uniform() * Entries);
    Request.Terms.Received = this->Scheduler.now();
    Request.Terms.Deadline = Current.Arrived + this->Scenario.Deadline;
    // The latency objective counts from the caller's first try.
    Request.Terms.Objective -= this->Scheduler.now() - Current.Arrived;
    Request.OnEnd = [this, Current](ModelOutcome Outcome, Duration RetryAfter) {
      this->onEnd(Current, Outcome, RetryAfter);
    };
    this->Policy.onRequest(std::move(Request));
  }

  void onEnd(const Caller &Current, ModelOutcome Outcome, Duration RetryAfter) {
    const TimePoint Now = this->Scheduler.now();
    const TimePoint Deadline = Current.Arrived + this->Scenario.Deadline;
    OutcomeCounts &Counts = this->CountsBySecond[static_cast<std::size_t>(
        Current.Arrived.time_since_epoch() / CountInterval)];
    if (Outcome == ModelOutcome::Refused && Current.RetriesLeft > 0 &&
        Now + RetryAfter < Deadline) {
      Caller Retrying = Current;
      --Retrying.RetriesLeft;
      this->Scheduler.after(RetryAfter, [this, Retrying] { this->sendRequest(Retrying); });
      return;
    }
    if (Outcome == ModelOutcome::Served && Now <= Deadline) {
      const bool IsInTime = Now - Current.Arrived <= this->Scenario.Objective;
      ++(IsInTime ? Counts.InTime : Counts.Late);
      return;
    }
    ++(Outcome == ModelOutcome::Refused ? Counts.Refused : Counts.Failed);
  }

  ModelScenario Scenario;
  EventScheduler &Scheduler;
  ModelPolicy &Policy;
  SeededRandom Arrivals;
  /// Separate from the arrivals, because the number of draws depends on the policy.
  SeededRandom EntryChoices;
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
  std::unique_ptr<ModelPolicy> Selected;
  DispatcherPolicy *Dispatching = nullptr;
  if (Policy == DispatcherPolicyName) {
    auto Added = std::make_unique<DispatcherPolicy>(Scenario, Scheduler, Targets, Random);
    Dispatching = Added.get();
    Selected = std::move(Added);
  } else if (Policy == IdealPolicyName) {
    Selected = std::make_unique<IdealPolicy>(Scenario, Scheduler, Targets);
  } else {
    Selected = std::make_unique<RandomPolicy>(Targets, Random);
  }
  Callers All(Scenario, Scheduler, *Selected);
  All.start();
  Scheduler.run(TimePoint(Scenario.Length + Scenario.Deadline + ResponseGracePeriod));
  ModelResult Result;
  Result.Policy = Policy;
  Result.CountsBySecond = All.takeCounts();
  const std::uint32_t Requests = Result.total().Requests;
  if (Dispatching && Requests > 0) {
    Result.ProbesPerRequest = static_cast<double>(Dispatching->probes()) / Requests;
  }
  return Result;
}

} // namespace anvilsaddle
