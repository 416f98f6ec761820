#include "coordination/dispatch/RunAdmission.h"

#include <algorithm>
#include <vector>

namespace anvilsaddle {

namespace {

/// Older reports say nothing about the targets that may come free next.
constexpr Duration ReportWindow = std::chrono::seconds(1);
/// With fewer fast targets, a search of a few targets rarely finds one.
constexpr double FastShare = 0.1;

} // namespace

void RecentSlowdowns::add(double Slowdown, TimePoint Now) {
  this->Reports.emplace_back(Now, Slowdown);
  while (this->Reports.size() > MaxReports || this->Reports.front().first < Now - ReportWindow) {
    this->Reports.pop_front();
  }
}

std::optional<double> RecentSlowdowns::fastest(TimePoint Now) const {
  std::vector<double> Recent;
  for (const auto &[Time, Slowdown] : this->Reports) {
    if (Time >= Now - ReportWindow) {
      Recent.push_back(Slowdown);
    }
  }
  if (Recent.empty()) {
    return std::nullopt;
  }
  const auto Rank = static_cast<std::ptrdiff_t>(FastShare * static_cast<double>(Recent.size()));
  std::nth_element(Recent.begin(), Recent.begin() + Rank, Recent.end());
  return Recent[static_cast<std::size_t>(Rank)];
}

RunAdmission decideRun(const RequestAttributes &Attributes, const PlacementChoice &Choice,
                       Duration ProcessingTime, std::optional<double> FastestSlowdown,
                       TimePoint Now) {
  RunAdmission Result;
  Result.TimeLeft = Attributes.Deadline - Now;
  Result.ExpectedTime = Choice.ExpectedTime;
  Result.TimeIfSlowdownLasts = Choice.TimeIfSlowdownLasts;
  Result.BetterTime = FastestSlowdown ? scaled(ProcessingTime, std::max(1.0, *FastestSlowdown))
                                      : Choice.ExpectedTime;
  if (Attributes.Idempotent || Choice.TimeIfSlowdownLasts <= Result.TimeLeft) {
    return Result;
  }
  const Duration ObjectiveLeft =
      std::min(Result.TimeLeft, Attributes.ReceivedAt + Attributes.Objective - Now);
  const bool IsBetterLikely = Result.BetterTime < Choice.ExpectedTime;
  if (IsBetterLikely && Result.BetterTime < ObjectiveLeft) {
    Result.Decision = RunDecision::WaitForBetter;
  } else if (Choice.ExpectedTime > Result.TimeLeft) {
    Result.Decision = IsBetterLikely && Result.BetterTime < Result.TimeLeft
                          ? RunDecision::WaitForBetter
                          : RunDecision::Refuse;
  }
  return Result;
}

} // namespace anvilsaddle
