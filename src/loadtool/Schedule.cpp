#include "loadtool/Schedule.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace anvilsaddle {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

std::vector<double> weightsOf(const Scenario &Plan) {
  std::vector<double> Result;
  std::ranges::transform(Plan.Kinds, std::back_inserter(Result),
                         [](const RequestKind &Each) { return static_cast<double>(Each.Weight); });
  return Result;
}

} // namespace

Schedule::Schedule(const Scenario &Plan)
    : Engine(Plan.Seed), Gap(static_cast<double>(Plan.Rate) / MicrosecondsPerSecond) {
  const std::vector<double> Weights = weightsOf(Plan);
  this->Kind = std::discrete_distribution<std::size_t>(Weights.begin(), Weights.end());
}

ScheduledRequest Schedule::next() {
  this->DueMicroseconds += this->Gap(this->Engine);
  ScheduledRequest Result;
  Result.Due = Duration(static_cast<Duration::rep>(this->DueMicroseconds));
  Result.Kind = this->Kind(this->Engine);
  Result.Number = ++this->Drawn;
  return Result;
}

} // namespace anvilsaddle
