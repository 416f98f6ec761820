#pragma once

#include "coordination/DispatchPolicy.h"
#include "coordination/RandomSource.h"

#include <deque>
#include <map>

namespace anvilsaddle {

/// Base of the policies that choose a target at arrival from what one entry knows alone. They have
/// no limit per target: work beyond its slots waits at the target. Used only to compare with.
class ArrivalChoicePolicy : public DispatchPolicy {
public:
  void setTargets(const std::vector<DispatchTarget> &Targets, TimePoint Now) override;
  EnqueueOutcome enqueue(const QueuedRequest &Request, TimePoint Now) override;
  std::vector<Assignment> assign(TimePoint Now) override;
  std::vector<RequestNumber> expire(TimePoint Now) override;
  bool cancel(RequestNumber Request, TimePoint Now) override;
  void onAttemptEnd(RequestNumber Request, const AttemptResult &Result, TimePoint Now) override;
  std::optional<TimePoint> nextWakeup(TimePoint Now) const override;
  DispatchLoad load() const override;
  std::vector<TargetStatus> status() const override;
  std::uint32_t inFlight(const TargetName &Target) const override;

protected:
  /// Index of the chosen target. Precondition: Candidates is not empty.
  virtual std::size_t choose(const std::vector<TargetName> &Candidates) = 0;

private:
  std::vector<DispatchTarget> Targets;
  std::map<TargetName, std::uint32_t> Busy;
  std::map<RequestNumber, TargetName> Running;
  std::deque<QueuedRequest> Waiting;
};

/// A target drawn at random.
class RandomPolicy final : public ArrivalChoicePolicy {
public:
  /// The source must outlive the policy.
  explicit RandomPolicy(RandomSource &Random) : Random(Random) {}

protected:
  std::size_t choose(const std::vector<TargetName> &Candidates) override;

private:
  RandomSource &Random;
};

/// Each target in turn.
class RoundRobinPolicy final : public ArrivalChoicePolicy {
protected:
  std::size_t choose(const std::vector<TargetName> &Candidates) override;

private:
  std::size_t Next = 0;
};

/// The one with fewer requests in flight of two targets drawn at random.
class TwoChoicesPolicy final : public ArrivalChoicePolicy {
public:
  /// The source must outlive the policy.
  explicit TwoChoicesPolicy(RandomSource &Random) : Random(Random) {}

protected:
  std::size_t choose(const std::vector<TargetName> &Candidates) override;

private:
  RandomSource &Random;
};

/// The target with the fewest requests in flight; ties are drawn.
class LeastInFlightPolicy final : public ArrivalChoicePolicy {
public:
  /// The source must outlive the policy.
  explicit LeastInFlightPolicy(RandomSource &Random) : Random(Random) {}

protected:
  std::size_t choose(const std::vector<TargetName> &Candidates) override;

private:
  RandomSource &Random;
};

} // namespace anvilsaddle
