#pragma once

#include "state/Time.h"

#include <cstdint>
#include <memory>

namespace anvilsaddle {

/// Latency quantiles in fixed memory (about 10 KB). They cover the last complete time window, so
/// that they follow the current load. The upper quantiles are exact while a window has at most
/// TailSamples samples above them; beyond that they are estimated with the P-square algorithm. Not
/// thread-safe.
class LatencyQuantiles {
public:
  static constexpr Duration Window = std::chrono::seconds(10);
  /// Keeps p99 exact up to 1,280 requests per second of one service.
  static constexpr std::size_t TailSamples = 128;

  /// Quantiles in seconds; all zero if there are no samples.
  struct Values {
    double P50 = 0;
    double P99 = 0;
    double P999 = 0;
  };

  LatencyQuantiles();
  ~LatencyQuantiles();
  LatencyQuantiles(LatencyQuantiles &&) noexcept;
  LatencyQuantiles &operator=(LatencyQuantiles &&) noexcept;

  /// Precondition: `Now` never decreases.
  void add(Duration Latency, TimePoint Now);
  /// Returns the quantiles of the last complete window, or of the current window if the last one
  /// has no samples.
  Values values(TimePoint Now);

  /// Number and sum (in seconds) of all samples since construction.
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
