#pragma once

#include "state/Time.h"

#include <cstdint>
#include <memory>

namespace anvilsaddle {

/// Quantiles of latencies in fixed memory (about 10 KB), over the last complete window of time, so
/// that they follow the present load. The upper quantiles are exact while a window holds at most
/// TailSamples samples above them; beyond that they are estimates by the P-square algorithm. Not
/// thread-safe.
class LatencyQuantiles {
public:
  static constexpr Duration Window = std::chrono::seconds(10);
  /// Makes p99 exact up to 1,280 requests a second of one service and class.
  static constexpr std::size_t TailSamples = 128;

  /// Seconds. All zero if there are no samples.
  struct Values {
    double P50 = 0;
    double P99 = 0;
    double P999 = 0;
  };

  LatencyQuantiles();
  ~LatencyQuantiles();
  LatencyQuantiles(LatencyQuantiles &&) noexcept;
  LatencyQuantiles &operator=(LatencyQuantiles &&) noexcept;

  /// Precondition: `Now` never goes back.
  void add(Duration Latency, TimePoint Now);
  /// Of the last complete window, or of the current one if it is the first with samples.
  Values values(TimePoint Now);

  /// Samples since construction and their sum in seconds.
  std::uint64_t count() const { return this->Count; }
  double sum() const { return this->Sum; }

private:
  struct Samples;

  void rotate(TimePoint Now);

  std::unique_ptr<Samples> Current;
  std::unique_ptr<Samples> Previous;
  TimePoint WindowStart;
  std::uint64_t Count = 0;
  double Sum = 0;
};

} // namespace anvilsaddle
