#pragma once

#include "coordination/limits/SenderAssignment.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Limits on the requests to a cold target within any second, for all entries together: rate x
/// burst factor + slack. Value type.
struct ColdStartLimits {
  double BurstFactor = 1.5;
  double Slack = 5;

  auto operator<=>(const ColdStartLimits &) const = default;
};

/// Decides whether this entry may send a request to a cold target. A few entries, selected by
/// rendezvous hashing over the live entries, may send one request per second each, so that the
/// limit holds without shared state. Not thread-safe; times must not decrease.
class ColdStartLimiter {
public:
  ColdStartLimiter(ColdStartLimits Limits, std::string Self)
      : Limits(Limits), Senders(std::move(Self)) {}

  /// Sets the names of the live entries, including this one.
  void setEntries(std::vector<std::string> Names) { this->Senders.setEntries(std::move(Names)); }
  /// True if a request may be sent now. Precondition: the target is cold.
  bool maySend(const TargetName &Target, double ColdRate, TimePoint Now) const;
  /// Records a request to a cold target.
  void onSent(const TargetName &Target, TimePoint Now);

private:
  bool isAssignedSender(const TargetName &Target, double ColdRate) const;

  ColdStartLimits Limits;
  SenderAssignment Senders;
  std::map<TargetName, TimePoint> LastSentAt;
};

} // namespace anvilsaddle
