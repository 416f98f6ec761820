#include "loadtool/KeyAudit.h"

namespace anvilsaddle {

void KeyAudit::onAnswer(const std::string &Key, RunKnowledge Run) {
  Answers &Known = this->Told[Key];
  Known.AllNotRun = Known.AllNotRun && Run == RunKnowledge::NotRun;
  Known.Ran = Known.Ran || Run == RunKnowledge::Ran;
}

void KeyAudit::addRunsBefore(const std::map<std::string, std::uint64_t> &RunsByKey) {
  for (const auto &[Key, Count] : RunsByKey) {
    this->Before[Key] += Count;
  }
}

void KeyAudit::addRuns(const std::map<std::string, std::uint64_t> &RunsByKey) {
  for (const auto &[Key, Count] : RunsByKey) {
    this->Runs[Key] += Count;
  }
}

KeyFindings KeyAudit::check() const {
  KeyFindings Result;
  Result.Keys = this->Told.size();
  for (const auto &[Key, Count] : this->Runs) {
    if (Count > 1) {
      Result.RanTwice.push_back(Key);
    }
  }
  for (const auto &[Key, Known] : this->Told) {
    const auto Found = this->Runs.find(Key);
    const auto Earlier = this->Before.find(Key);
    const std::uint64_t Counted = Found == this->Runs.end() ? 0 : Found->second;
    const bool Ran = Counted > (Earlier == this->Before.end() ? 0 : Earlier->second);
    if (Ran && Known.AllNotRun) {
      Result.RanThoughNotRun.push_back(Key);
    }
    if (!Ran && Known.Ran) {
      Result.AnsweredWithoutRun.push_back(Key);
    }
  }
  return Result;
}

} // namespace anvilsaddle
