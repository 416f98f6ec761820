#pragma once

#include "FakeTarget.h"
#include "Scenario.h"
#include "coordination/RandomSource.h"
#include "coordination/RetryBudget.h"

#include <array>
#include <memory>
#include <queue>
#include <random>

namespace anvilsaddle::bench {

class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed) : Engine(Seed) {}
  double uniform() override { return std::uniform_real_distribution<double>(0, 1)(this->Engine); }
  std::uint64_t bits() override { return this->Engine(); }

private:
  std::mt19937_64 Engine;
};

/// Figures of one class of requests, or of all, that arrived in the measured time.
struct ClassFigures {
  /// Milliseconds from arrival to the start of service of the last attempt.
  std::vector<double> Waits;
  /// Milliseconds from arrival to the answer, the failure or the deadline.
  std::vector<double> Responses;
  std::uint64_t Offered = 0;
  std::uint64_t Good = 0;
  std::uint64_t Overloaded = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Late = 0;
};

struct RunFigures {
  std::array<ClassFigures, 2> Classes;
  double MeasuredSeconds = 0;
  double Capacity = 0;
  /// Sends beyond the slots of a target.
  std::uint64_t SlotViolations = 0;
  /// Sends to a cold target beyond what it bears, or to one that is down.
  std::uint64_t ColdViolations = 0;
};

/// Discrete-event run of one policy in one scenario. The arrivals and service times depend on the
/// seed alone, so that all policies meet the same load.
class Simulation {
public:
  Simulation(const Scenario &Case, const PolicyChoice &Choice, std::uint64_t Seed, double Seconds);
  RunFigures run();

private:
  enum class EventKind { Arrival, ServiceEnd, FailureNotice, Deadline, Retry, Wakeup, Change };
  enum class RequestState { Waiting, Running, Retrying, Done };
  struct Event {
    TimePoint When;
    std::uint64_t Order;
    EventKind Kind;
    std::uint64_t Subject;
    std::uint32_t Attempt;
  };
  struct Later {
    bool operator()(const Event &A, const Event &B) const {
      return std::tie(A.When, A.Order) > std::tie(B.When, B.Order);
    }
  };
  struct Request {
    TimePoint Arrival;
    TimePoint Deadline;
    TimePoint Sent;
    TimePoint ServiceStart;
    RequestClass Class = RequestClass::Interactive;
    std::uint32_t Customer = 0;
    std::uint32_t Entry = 0;
    std::uint32_t Attempts = 0;
    std::uint32_t Target = 0;
    RequestState State = RequestState::Waiting;
    bool Measured = false;
    std::set<TargetName> Excluded;
  };

  std::unique_ptr<DispatchPolicy> makePolicy(const std::string &Name);
  void schedule(TimePoint When, EventKind Kind, std::uint64_t Subject, std::uint32_t Attempt = 0);
  void handle(const Event &Next);
  void onArrival();
  void enqueue(RequestNumber Number);
  void onServiceEnd(const Event &Next);
  void onDeadline(RequestNumber Number);
  void onFailure(RequestNumber Number);
  void onChange(std::uint64_t Step);
  void setTargets(bool DomainOut);
  void pump(std::uint32_t Entry);
  void send(const Assignment &Next);
  void failOver(std::uint32_t Target, RequestNumber Cause);
  void beginService(RequestNumber Number);
  void leaveTarget(RequestNumber Number);
  void report(RequestNumber Number, AttemptOutcome Outcome);
  void finish(Request &Done, std::uint64_t ClassFigures::*Counter, bool Timed);
  ClassFigures &figures(const Request &Of) {
    return this->Result.Classes[static_cast<std::size_t>(Of.Class)];
  }

  Scenario Case;
  TimePoint End;
  TimePoint MeasureFrom;
  TimePoint Now{};
  SeededRandom ArrivalRandom;
  SeededRandom PolicyRandom;
  std::uint64_t ServiceSeed;
  double ArrivalGap;
  std::vector<FakeTarget> Targets;
  std::vector<std::unique_ptr<DispatchPolicy>> Entries;
  std::vector<std::optional<TimePoint>> Wakeups;
  std::vector<RetryBudget> Budgets;
  std::vector<Request> Requests;
  std::priority_queue<Event, std::vector<Event>, Later> Events;
  std::uint64_t NextOrder = 0;
  RunFigures Result;
};

} // namespace anvilsaddle::bench
