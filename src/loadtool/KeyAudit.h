#pragma once

#include "loadtool/CallOutcome.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Result of a comparison of answers and runs. Value type.
struct KeyFindings {
  /// Keys that ran more than once.
  std::vector<std::string> RanTwice;
  /// Keys that ran although every answer said "not run".
  std::vector<std::string> RanThoughNotRun;
  /// Keys answered by a target that no target counted. A target that restarted forgets its counts.
  std::vector<std::string> AnsweredWithoutRun;
  std::uint64_t Keys = 0;

  bool holds() const { return this->RanTwice.empty() && this->RanThoughNotRun.empty(); }
  auto operator<=>(const KeyFindings &) const = default;
};

/// Compares what callers were told of their idempotency keys with the runs that the targets
/// counted. Not thread-safe.
class KeyAudit {
public:
  /// Records one answer; a key may have several, one for each send.
  void onAnswer(const std::string &Key, RunKnowledge Run);
  /// Adds runs that one target had counted before this run. They still count for "ran twice", but
  /// an answer of this run says nothing about them.
  void addRunsBefore(const std::map<std::string, std::uint64_t> &RunsByKey);
  /// Adds all runs that one target counted, including those before this run.
  void addRuns(const std::map<std::string, std::uint64_t> &RunsByKey);

  KeyFindings check() const;

private:
  struct Answers {
    bool AllNotRun = true;
    bool Ran = false;
  };

  std::map<std::string, Answers> Told;
  std::map<std::string, std::uint64_t> Runs;
  std::map<std::string, std::uint64_t> Before;
};

} // namespace anvilsaddle
