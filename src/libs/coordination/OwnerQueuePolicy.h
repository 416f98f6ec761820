#pragma once

#include "coordination/DispatchPolicy.h"

#include <deque>
#include <map>

namespace anvilsaddle {

/// One exact queue over the targets of a group: the waiting request at the head starts on the
/// usable target with the fewest running attempts.
class OwnerQueuePolicy final : public DispatchPolicy {
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

private:
  const TargetName *pickTarget(const QueuedRequest &Request) const;

  std::map<TargetName, std::uint32_t> Slots;
  std::map<TargetName, std::uint32_t> Running;
  std::map<RequestNumber, TargetName> RunningOn;
  std::deque<QueuedRequest> Waiting;
};

} // namespace anvilsaddle
