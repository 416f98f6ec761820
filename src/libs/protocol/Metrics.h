#pragma once

#include "coordination/Refusal.h"
#include "protocol/LatencyQuantiles.h"
#include "protocol/PeerTraffic.h"
#include "state/Identifiers.h"
#include "state/TeamSettings.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace anvilsaddle {

/// Counters and latency quantiles of one entry, written in the Prometheus text format. The number
/// of series is bounded: names beyond the limits are counted under `other`. Holds names of services
/// and reasons of refusals only, no paths, customers or content. Not thread-safe.
class Metrics {
public:
  /// Twice the services of the design scale, with room for some that were replaced.
  static constexpr std::size_t MaxServices = 600;
  static constexpr std::size_t MaxReasons = 64;

  /// An answer of a target went to the caller. `Latency` counts from the arrival of the request.
  void onAnswered(const ServiceName &Service, RequestClass Class, int Status, Duration Latency,
                  TimePoint Now);
  /// The entry itself answered. The reason must be one of a fixed set of texts.
  void onRefused(const Refusal &Answer);
  /// An attempt after the first of a request.
  void onRetry(const ServiceName &Service);
  /// One call for load measurement ended; request and answer together had so many bytes.
  void onMeasurement(std::uint64_t Bytes);
  /// Newest counters of the peer socket.
  void setPeerTraffic(const PeerTraffic &Traffic) { this->Peers = Traffic; }

  /// All series as `text/plain; version=0.0.4`.
  std::string render(TimePoint Now);

private:
  /// Kept together, because each answer would otherwise search one table for each family.
  struct ServiceSeries {
    std::map<RequestClass, LatencyQuantiles> Latencies;
    /// By status.
    std::map<int, std::uint64_t> Requests;
    std::uint64_t Retries = 0;
  };

  ServiceSeries &series(const ServiceName &Service);

  std::map<ServiceName, ServiceSeries> Services;
  /// Outcome, status and reason.
  std::map<std::tuple<RunOutcome, int, std::string>, std::uint64_t> Refusals;
  std::uint64_t MeasurementCalls = 0;
  std::uint64_t MeasurementBytes = 0;
  PeerTraffic Peers;
};

} // namespace anvilsaddle
