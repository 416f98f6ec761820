#pragma once

#include "coordination/dispatch/LoadReport.h"
#include "model/ModelScenario.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace anvilsaddle {

class EventScheduler;

/// The simulated targets of a scenario. Each has slots and a queue, sheds requests beyond them, is
/// slowed down by noisy neighbours, and works slower while few or no slots are free. Not
/// thread-safe.
class ModelTargets {
public:
  /// Called exactly once; `Executed` is false if the target shed the request.
  using CompletionHandler = std::function<void(bool Executed)>;

  /// Precondition: the scheduler outlives the object.
  ModelTargets(const ModelScenario &Scenario, EventScheduler &Scheduler);

  std::size_t size() const { return this->States.size(); }
  LoadReport load(std::size_t Target) const;
  /// `ProcessingTime` is the time that the request takes on a target at normal speed.
  void send(std::size_t Target, Duration ProcessingTime, CompletionHandler OnCompletion);

private:
  struct QueuedRequest {
    Duration ProcessingTime{0};
    CompletionHandler OnCompletion;
  };

  struct State {
    std::uint32_t Running = 0;
    std::deque<QueuedRequest> Queue;
  };

  void start(std::size_t Target, QueuedRequest Next);
  void finish(std::size_t Target, const CompletionHandler &OnCompletion);
  double slowdown(std::size_t Target, std::int64_t Interval) const;
  Duration serviceTime(std::size_t Target, Duration ProcessingTime) const;

  ModelScenario Scenario;
  EventScheduler &Scheduler;
  std::vector<State> States;
};

} // namespace anvilsaddle
