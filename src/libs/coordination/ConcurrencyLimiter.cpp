#include "coordination/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace anvilsaddle {

namespace {
/// The test looks for answers this many times slower than the baseline.
constexpr double SlowRatio = 4;
/// Evidence in favour of "slow" per baseline mean of time spent.
constexpr double TimeWeight = 1 - 1 / SlowRatio;
/// Alarm threshold. CUSUM gives a false alarm at most once in exp(14), about 1.2 million answers.
constexpr double AlarmEvidence = 14;
/// One answer never raises an alarm alone, however late it is.
constexpr double MaxEvidencePerAnswer = 8;
/// One attempt older than this many baselines blocks new work. An exponential answer exceeds it
/// once in 3,000 times, and the block then ends with the answer.
constexpr double OverdueRatio = 8;
/// Above this age the target is chosen after others.
constexpr double SuspiciousRatio = 3;
/// A baseline of its own never exceeds this multiple of the group's.
constexpr double MaxGroupRatio = 3;
/// Answers before the mean of a target itself is used.
constexpr std::uint32_t MinSamples = 8;
constexpr double BaselineAnswers = 256;
constexpr double RecentAnswers = 8;
/// A probe answered within this many baselines is good: 95% of undisturbed exponential answers,
/// a quarter of those of a target that is ten times slower.
constexpr double GoodProbeRatio = 3;
constexpr std::uint32_t ProbesNeeded = 4;
constexpr std::uint32_t MaxRunNeeded = 128;
/// A run whose latest answers are above this multiple of the group's baseline may come from a cold
/// target and must be longer. A target that is always slower than its group still grows.
constexpr double SlowRunRatio = 1.3;
constexpr std::uint32_t SlowRunFactor = 8;
/// Short enough that a target that has become warm is not judged by its cold answers.
constexpr double RunMeanAnswers = 16;
constexpr std::uint32_t FailuresToStop = 2;
constexpr double BackoffBase = 50'000;
constexpr double BackoffCap = 2'000'000;

double micros(Duration Time) { return static_cast<double>(Time.count()); }
} // namespace

void ConcurrencyLimiter::setGroupBaseline(Duration Value) { this->GroupMean = micros(Value); }

double ConcurrencyLimiter::reference(double Own) const {
  if (this->Samples < MinSamples) {
    return this->GroupMean;
  }
  return this->GroupMean > 0 ? std::min(Own, MaxGroupRatio * this->GroupMean) : Own;
}

Duration ConcurrencyLimiter::baseline() const {
  return Duration(static_cast<std::int64_t>(this->reference(this->FirstByteMean)));
}

Duration ConcurrencyLimiter::oldestAge(TimePoint Now) const {
  Duration Oldest(0);
  for (const auto &[Request, Each] : this->Attempts) {
    if (Each.Ageing) {
      Oldest = std::max(Oldest, Now - Each.Start);
    }
  }
  return Oldest;
}

double ConcurrencyLimiter::ageEvidence(TimePoint Now) const {
  const double Mean = this->reference(this->TotalMean);
  if (Mean <= 0) {
    return 0;
  }
  double Sum = 0;
  for (const auto &[Request, Each] : this->Attempts) {
    if (Each.Ageing) {
      Sum += TimeWeight * micros(Now - Each.Start) / Mean;
    }
  }
  return Sum;
}

bool ConcurrencyLimiter::overdue(TimePoint Now) const {
  const double Mean = this->reference(this->TotalMean);
  return Mean > 0 && (micros(this->oldestAge(Now)) >= OverdueRatio * Mean ||
                      this->Evidence + this->ageEvidence(Now) > AlarmEvidence);
}

bool ConcurrencyLimiter::suspicious(TimePoint Now) const {
  const double Mean = this->reference(this->TotalMean);
  return Mean > 0 && micros(this->oldestAge(Now)) > SuspiciousRatio * Mean;
}

std::uint32_t ConcurrencyLimiter::limit(TimePoint Now) const {
  if ((!this->Slow && Now < this->ResumeAt) || this->overdue(Now)) {
    return 0;
  }
  return std::min(this->Learned, this->Slots);
}

bool ConcurrencyLimiter::mayStart(std::uint32_t InFlight, bool UseSlow, TimePoint Now) const {
  if (this->Slow && !UseSlow && Now < this->ResumeAt) {
    return false;
  }
  return InFlight < this->limit(Now);
}

void ConcurrencyLimiter::onStart(RequestNumber Request, std::uint32_t InFlight, TimePoint Now) {
  this->Attempts.insert_or_assign(Request, Attempt{Now, this->Epoch, false, true});
  if (InFlight < this->Learned) {
    return;
  }
  for (auto &[Number, Each] : this->Attempts) {
    Each.AtLimit = true;
  }
}

void ConcurrencyLimiter::onFirstByte(RequestNumber Request) {
  const auto Found = this->Attempts.find(Request);
  if (Found != this->Attempts.end()) {
    Found->second.Ageing = false;
  }
}

void ConcurrencyLimiter::onEnd(RequestNumber Request, const AttemptResult &Result, TimePoint Now) {
  const auto Found = this->Attempts.find(Request);
  if (Found == this->Attempts.end()) {
    return;
  }
  const Attempt Ended = Found->second;
  this->Attempts.erase(Found);
  switch (Result.Outcome) {
  case AttemptOutcome::Succeeded:
    this->onSuccess(Ended, Result, Now);
    return;
  case AttemptOutcome::Shed:
  case AttemptOutcome::Failed:
    this->onFailure(Ended, Result.Draw, Now);
    return;
  case AttemptOutcome::DeadlineExceeded:
  case AttemptOutcome::Cancelled:
    // The outcome says nothing, but the time without an answer does.
    if (Ended.Ageing) {
      this->addEvidence(micros(Now - Ended.Start), false);
    }
    if (this->Slow || this->Evidence > AlarmEvidence) {
      this->becomeSlow(Result.Draw, Now);
    }
    return;
  }
}

void ConcurrencyLimiter::onSuccess(const Attempt &Ended, const AttemptResult &Result,
                                   TimePoint Now) {
  const double Time = micros(Result.FirstByte);
  const double Mean = this->reference(this->FirstByteMean);
  this->addEvidence(Time, true);
  this->learn(Result);
  if (Ended.Epoch != this->Epoch) {
    return;
  }
  this->Failures = 0;
  if (this->Slow) {
    this->onProbe(Mean > 0 ? Time / Mean : 1, Result.Draw, Now);
    return;
  }
  if (this->Evidence > AlarmEvidence) {
    this->becomeSlow(Result.Draw, Now);
    return;
  }
  this->Backoffs = 0;
  if (!Ended.AtLimit || this->Learned >= this->Slots) {
    return;
  }
  ++this->Run;
  this->RunMean += (Time - this->RunMean) / std::min<double>(this->Run, RunMeanAnswers);
  if (this->Run < this->runNeeded()) {
    return;
  }
  ++this->Learned;
  this->Run = 0;
}

std::uint32_t ConcurrencyLimiter::runNeeded() const {
  const bool SlowerThanGroup =
      this->GroupMean > 0 && this->RunMean > SlowRunRatio * this->GroupMean;
  return this->RunNeeded * (SlowerThanGroup ? SlowRunFactor : 1);
}

void ConcurrencyLimiter::addEvidence(double Time, bool Complete) {
  const double Mean = this->reference(this->FirstByteMean);
  if (Mean <= 0) {
    return;
  }
  const double Gain = TimeWeight * Time / Mean - (Complete ? std::log(SlowRatio) : 0);
  this->Evidence = std::max(0.0, this->Evidence + std::min(Gain, MaxEvidencePerAnswer));
}

void ConcurrencyLimiter::learn(const AttemptResult &Result) {
  ++this->Samples;
  const double Share = 1 / std::min<double>(this->Samples, BaselineAnswers);
  this->FirstByteMean += Share * (micros(Result.FirstByte) - this->FirstByteMean);
  this->TotalMean += Share * (micros(Result.Total) - this->TotalMean);
  const double RecentShare = 1 / std::min<double>(this->Samples, RecentAnswers);
  this->RecentMean += RecentShare * (micros(Result.Total) - this->RecentMean);
}

void ConcurrencyLimiter::onFailure(const Attempt &Ended, double Draw, TimePoint Now) {
  if (Ended.Epoch != this->Epoch) {
    return;
  }
  // A limit that was raised too early must be proven by a longer run the next time.
  if (this->Learned > 1) {
    this->RunNeeded = std::min(2 * this->RunNeeded, MaxRunNeeded);
  }
  this->cut();
  if (++this->Failures >= FailuresToStop || this->Slow) {
    this->backOff(Draw, Now);
  }
}

void ConcurrencyLimiter::becomeSlow(double Draw, TimePoint Now) {
  this->Slow = true;
  this->GoodProbes = 0;
  this->cut();
  this->backOff(Draw, Now);
}

void ConcurrencyLimiter::onProbe(double Ratio, double Draw, TimePoint Now) {
  if (Ratio > GoodProbeRatio) {
    this->becomeSlow(Draw, Now);
    return;
  }
  this->ResumeAt = Now;
  if (++this->GoodProbes >= ProbesNeeded) {
    this->Slow = false;
    this->Backoffs = 0;
  }
}

void ConcurrencyLimiter::cut() {
  this->Learned = 1;
  this->Run = 0;
  this->Evidence = 0;
  ++this->Epoch;
}

void ConcurrencyLimiter::backOff(double Draw, TimePoint Now) {
  const double Bound =
      std::min(BackoffCap, std::ldexp(BackoffBase, static_cast<int>(this->Backoffs)));
  this->Backoffs = std::min(this->Backoffs + 1, 10U);
  this->ResumeAt = Now + Duration(static_cast<std::int64_t>(Draw * Bound));
}

} // namespace anvilsaddle
