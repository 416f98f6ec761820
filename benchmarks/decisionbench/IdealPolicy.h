#pragma once

#include "FakeTarget.h"
#include "coordination/FairQueue.h"

#include <map>

namespace anvilsaddle::bench {

/// The reference: the same queue discipline, but every change of every target is known at once.
/// It never sends to a slow target, nor more to a cold target than it bears.
class IdealPolicy final : public DispatchPolicy {
public:
  /// The targets must outlive the policy.
  explicit IdealPolicy(std::vector<FakeTarget> &Truth) : Truth(Truth) {}

  void setTargets(const std::vector<DispatchTarget> &Targets, TimePoint Now) override;
  EnqueueOutcome enqueue(const QueuedRequest &Request, TimePoint Now) override;
  std::vector<Assignment> assign(TimePoint Now) override;
  std::vector<RequestNumber> expire(TimePoint Now) override;
  bool cancel(RequestNumber Request, TimePoint Now) override;
  void onAttemptEnd(RequestNumber Request, const AttemptResult &Result, TimePoint Now) override;
  std::optional<TimePoint> nextWakeup(TimePoint Now) const override;
  DispatchLoad load() const override { return {}; }
  std::vector<TargetStatus> status() const override { return {}; }
  std::uint32_t inFlight(const TargetName &Target) const override;

private:
  struct Run {
    TargetName Target;
    CustomerName Customer;
  };

  const FakeTarget *pick(const QueuedRequest &Request, TimePoint Now) const;

  std::vector<FakeTarget> &Truth;
  std::set<TargetName> Usable;
  std::map<TargetName, std::uint32_t> Busy;
  std::map<RequestNumber, Run> Running;
  FairQueue Queue;
};

} // namespace anvilsaddle::bench
