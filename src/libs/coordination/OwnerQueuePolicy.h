#pragma once

#include "coordination/ConcurrencyLimiter.h"
#include "coordination/FairQueue.h"

#include <map>

namespace anvilsaddle {

/// One exact queue over the targets of a group: the fair queue decides which request is next, the
/// limiters decide which targets bear more work, and the request starts on the one of them that
/// promises the earliest answer.
class OwnerQueuePolicy final : public DispatchPolicy {
public:
  void setTargets(const std::vector<DispatchTarget> &Targets, TimePoint Now) override;
  EnqueueOutcome enqueue(const QueuedRequest &Request, TimePoint Now) override;
  std::vector<Assignment> assign(TimePoint Now) override;
  std::vector<RequestNumber> expire(TimePoint Now) override;
  bool cancel(RequestNumber Request, TimePoint Now) override;
  void onAttemptEnd(RequestNumber Request, const AttemptResult &Result, TimePoint Now) override;
  void onFirstByte(RequestNumber Request, TimePoint Now) override;
  std::optional<TimePoint> nextWakeup(TimePoint Now) const override;
  DispatchLoad load() const override;
  std::vector<TargetStatus> status() const override;
  std::uint32_t inFlight(const TargetName &Target) const override;

private:
  struct RunningAttempt {
    TargetName Target;
    CustomerName Customer;
  };

  std::vector<TargetName> freeTargets(TimePoint Now) const;
  const TargetName *pickTarget(const std::vector<TargetName> &Free, const QueuedRequest &Request,
                               TimePoint Now) const;
  void start(const QueuedRequest &Request, const TargetName &Target, TimePoint Now);
  ServiceEstimate estimate(TimePoint Now) const;
  Duration groupBaseline() const;
  void refreshGroup();

  std::map<TargetName, ConcurrencyLimiter> Limiters;
  std::map<TargetName, std::uint32_t> Busy;
  std::map<RequestNumber, RunningAttempt> Running;
  FairQueue Queue;
  /// Time of the latest call, for the views that take none.
  TimePoint Latest{};
};

} // namespace anvilsaddle
