#pragma once

#include "coordination/DispatchPolicy.h"

#include <map>

namespace anvilsaddle {

/// Learns from the answers of one target how much work it bears. Starts at a limit of 1.
///
/// Slowness is found by a sequential likelihood-ratio test (CUSUM) of exponential answer times
/// with the baseline mean against four times that mean; attempts that still run count as censored
/// observations. Not thread-safe; no clock and no random source.
class ConcurrencyLimiter {
public:
  /// Answers at the limit that raise it by one. Eight answers of 10 ms take a target with three
  /// slots from 1 to 3 in about 120 ms.
  static constexpr std::uint32_t GrowthRun = 8;

  explicit ConcurrencyLimiter(std::uint32_t Slots) : Slots(Slots) {}

  /// Sets the upper bound of the limit. The learned limit never rises by this.
  void setSlots(std::uint32_t Count) { this->Slots = Count; }
  std::uint32_t slots() const { return this->Slots; }
  /// Baseline of the other targets of the group; zero if unknown. It stands in until the target has
  /// its own, and bounds it, so that a target that is slow from the start is noticed.
  void setGroupBaseline(Duration Value);

  /// Limit now, between 0 (stopped after failures or overdue work) and the number of slots.
  std::uint32_t limit(TimePoint Now) const;
  /// True while the target is slow: it then takes one probe at a time, from probeTime() on.
  bool slow() const { return this->Slow; }
  /// Start of the next probe of a slow or stopped target.
  TimePoint probeTime() const { return this->ResumeAt; }
  /// True when new work may be sent. InFlight counts every running attempt on the target, also
  /// those from before this limiter was made. UseSlow permits a slow target before its probe time.
  bool mayStart(std::uint32_t InFlight, bool UseSlow, TimePoint Now) const;
  /// True while a running attempt is suspiciously old, but not yet old enough to block the target.
  bool suspicious(TimePoint Now) const;

  /// Records that an attempt is sent. InFlight includes it.
  void onStart(RequestNumber Request, std::uint32_t InFlight, TimePoint Now);
  /// Ends the ageing of an attempt whose answer has begun.
  void onFirstByte(RequestNumber Request);
  /// Learns from an ended attempt; unknown numbers are ignored. Result.Draw spreads the backoff.
  void onEnd(RequestNumber Request, const AttemptResult &Result, TimePoint Now);

  /// Mean time to the first byte of undisturbed answers, bounded by the group; zero while unknown.
  Duration baseline() const;
  /// Mean time to the first byte of this target alone, from samples() answers.
  Duration ownBaseline() const { return Duration(static_cast<std::int64_t>(this->FirstByteMean)); }
  /// Mean of the latest answer times; zero while unknown.
  Duration recent() const { return Duration(static_cast<std::int64_t>(this->RecentMean)); }
  /// Answers that the baseline is made from.
  std::uint32_t samples() const { return this->Samples; }

private:
  struct Attempt {
    TimePoint Start;
    std::uint32_t Epoch = 0;
    bool AtLimit = false;
    bool Ageing = true;
  };

  double reference(double Own) const;
  std::uint32_t runNeeded() const;
  double ageEvidence(TimePoint Now) const;
  bool overdue(TimePoint Now) const;
  Duration oldestAge(TimePoint Now) const;
  void onSuccess(const Attempt &Ended, const AttemptResult &Result, TimePoint Now);
  void onFailure(const Attempt &Ended, double Draw, TimePoint Now);
  void addEvidence(double Time, bool Complete);
  void learn(const AttemptResult &Result);
  void becomeSlow(double Draw, TimePoint Now);
  void onProbe(double Ratio, double Draw, TimePoint Now);
  void cut();
  void backOff(double Draw, TimePoint Now);

  std::uint32_t Slots;
  std::uint32_t Learned = 1;
  /// Raised by each cut, so that attempts from before it prove and disprove nothing more.
  std::uint32_t Epoch = 0;
  std::uint32_t Run = 0;
  std::uint32_t RunNeeded = GrowthRun;
  std::uint32_t Failures = 0;
  std::uint32_t Backoffs = 0;
  std::uint32_t GoodProbes = 0;
  std::uint32_t Samples = 0;
  bool Slow = false;
  double RunMean = 0;
  double Evidence = 0;
  double FirstByteMean = 0;
  double TotalMean = 0;
  double RecentMean = 0;
  double GroupMean = 0;
  TimePoint ResumeAt{};
  std::map<RequestNumber, Attempt> Attempts;
};

} // namespace anvilsaddle
