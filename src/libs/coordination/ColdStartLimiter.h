#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Bound on requests to a cold target in any second, for all entries together: rate x burst +
/// slack. Value type.
struct ColdStartLimits {
  double BurstFactor = 1.5;
  double Slack = 5;

  auto operator<=>(const ColdStartLimits &) const = default;
};

/// Decides whether this entry may send a request to a cold target. A few entries, chosen by
/// rendezvous hashing over the live ones, may send one request a second each, so that the bound
/// holds without shared state. Not thread-safe; times must not decrease.
class ColdStartLimiter {
public:
  ColdStartLimiter(ColdStartLimits Terms, std::string Self) : Terms(Terms), Self(std::move(Self)) {}

  /// Names of the live entries, with this one.
  void setEntries(std::vector<std::string> Names) { this->Entries = std::move(Names); }
  /// True if a request may be sent now. Precondition: the target is cold.
  bool isOpen(const TargetName &Target, double ColdRate, TimePoint Now) const;
  /// Records a request to a cold target.
  void onSent(const TargetName &Target, TimePoint Now);

private:
  bool isSponsor(const TargetName &Target, double ColdRate) const;

  ColdStartLimits Terms;
  std::string Self;
  std::vector<std::string> Entries;
  std::map<TargetName, TimePoint> LastSent;
};

} // namespace anvilsaddle
