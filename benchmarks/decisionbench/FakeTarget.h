#pragma once

#include "coordination/DispatchPolicy.h"

#include <deque>
#include <vector>

namespace anvilsaddle::bench {

/// Mean service time of an undisturbed target.
constexpr double MeanService = 10'000;
constexpr std::uint32_t TargetSlots = 3;
/// A cold target bears one request at a time at this multiple of the service time.
constexpr double ColdFactor = 2;
/// Answers after which a cold target is warm.
constexpr std::uint32_t WarmUpAnswers = 50;
/// A cold target that gets more than it bears fails all its work and refuses for this long.
constexpr Duration DownTime{100'000};

/// A target at the interface: slots, a FIFO for work beyond them, slowness and cold start.
class FakeTarget {
public:
  /// What a send led to.
  enum class Reception { Started, Queued, Refused, FailedOver };

  explicit FakeTarget(TargetName Name) : Name(std::move(Name)) {}

  Reception receive(RequestNumber Request, TimePoint Now);
  /// Ends a request that runs or waits here. Returns the waiting request that starts instead.
  std::optional<RequestNumber> remove(RequestNumber Request);
  /// Counts an answer, which warms a cold target.
  void onAnswer();
  /// All work here, which has failed; empties the target.
  std::vector<RequestNumber> takeAll();

  void setSlow(double Factor) { this->Slowness = Factor; }
  void turnCold() { this->WarmUpLeft = WarmUpAnswers; }

  const TargetName &name() const { return this->Name; }
  bool cold() const { return this->WarmUpLeft > 0; }
  bool slow() const { return this->Slowness > 1; }
  bool down(TimePoint Now) const { return Now < this->DownUntil; }
  /// Requests that the target can serve at once now.
  std::uint32_t bears(TimePoint Now) const {
    return this->down(Now) ? 0 : (this->cold() ? 1 : TargetSlots);
  }
  double timeFactor() const { return this->Slowness * (this->cold() ? ColdFactor : 1); }
  std::size_t size() const { return this->Serving.size() + this->Waiting.size(); }

private:
  TargetName Name;
  std::vector<RequestNumber> Serving;
  std::deque<RequestNumber> Waiting;
  double Slowness = 1;
  std::uint32_t WarmUpLeft = 0;
  TimePoint DownUntil{};
};

} // namespace anvilsaddle::bench
