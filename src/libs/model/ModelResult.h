#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Outcomes of the requests that callers first sent in one second. Value type.
struct OutcomeCounts {
  std::uint32_t Requests = 0;
  /// Served within the latency objective.
  std::uint32_t WithinObjective = 0;
  /// Served after the latency objective, but no later than the deadline.
  std::uint32_t AfterObjective = 0;
  std::uint32_t Refused = 0;
  std::uint32_t Failed = 0;

  auto operator<=>(const OutcomeCounts &) const = default;
};

/// Result of a simulation with one policy. Value type.
struct ModelResult {
  std::string Policy;
  std::vector<OutcomeCounts> CountsBySecond;
  /// Mean number of probes per request; zero for policies that send none.
  double ProbesPerRequest = 0;

  /// Sum over all seconds.
  OutcomeCounts total() const;

  auto operator<=>(const ModelResult &) const = default;
};

/// Tab-separated values: a header line, one line per policy and second, and one line with the total
/// of each policy (second `all`).
std::string toTsv(const std::vector<ModelResult> &Results);

/// SVG plot of the share of requests that were served in time, by second.
std::string toSvg(const std::vector<ModelResult> &Results);

} // namespace anvilsaddle
