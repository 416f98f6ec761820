#pragma once

#include "loadtool/CallOutcome.h"
#include "loadtool/Scenario.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace anvilsaddle {

/// Collects final answers and prints them by kind, status and outcome. Not thread-safe.
class LoadReport {
public:
  /// Precondition: the scenario outlives the report.
  explicit LoadReport(const Scenario &Plan) : Plan(Plan) {}

  void add(const CallOutcome &Call);
  std::uint32_t count() const { return this->Count; }

  /// Aligned table. `Elapsed` is the time from the first due request to the last answer.
  std::string table(Duration Elapsed) const;
  /// The same rows with a header line, separated by tabs; times in milliseconds.
  std::string tsv(Duration Elapsed) const;

private:
  using Row = std::vector<std::string>;
  /// Kind, status, outcome.
  using RowKey = std::tuple<std::size_t, unsigned, RunKnowledge>;

  std::vector<Row> rows(Duration Elapsed) const;
  Row row(const std::string &Kind, const std::string &Status, const std::string &Outcome,
          std::vector<Duration> Latencies, Duration Elapsed) const;

  const Scenario &Plan;
  std::map<RowKey, std::vector<Duration>> Latencies;
  std::vector<Duration> Lateness;
  std::uint32_t Count = 0;
  std::uint32_t Follows = 0;
  std::uint32_t CountedFromSend = 0;
};

} // namespace anvilsaddle
