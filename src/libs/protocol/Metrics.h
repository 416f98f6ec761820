#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/dispatch/HedgePolicy.h"
#include "coordination/limits/RetryBudget.h"
#include "coordination/memory/MemoryAccount.h"
#include "protocol/LatencyQuantiles.h"
#include "protocol/LogLineCounts.h"
#include "protocol/PeerTraffic.h"
#include "protocol/PublicationTraffic.h"
#include "protocol/UnansweredRequest.h"
#include "state/Identifiers.h"
#include "state/SourcePosition.h"
#include "state/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace anvilsaddle {

/// Counters, latency histograms and quantiles of one entry, exported in the Prometheus text format.
/// The number of series is bounded: names beyond the limits are counted under the label `other`.
/// Label values come from small fixed sets, apart from service names and refusal reasons, whose
/// number is limited; they contain no paths and no content of requests. Not thread-safe.
class Metrics {
public:
  /// Twice the number of services that one fleet is designed for (290) and some more, to leave room
  /// for services that were replaced.
  static constexpr std::size_t MaxServices = 600;
  /// Maximum number of pairs of a refusal reason and a status that are counted separately.
  static constexpr std::size_t MaxRefusalSeries = 64;

  /// Maximum number of customers that are counted separately.
  static constexpr std::size_t MaxCustomers = 256;

  /// Requests of one customer that came to this entry from callers.
  struct CustomerCounts {
    /// Passed to the dispatcher; the entry may still refuse them.
    std::uint64_t Admitted = 0;
    /// Refused before or after that, whatever the reason.
    std::uint64_t Refused = 0;
  };

  /// This entry's part of the budget for retries. Value type.
  struct RetryBudgetValues {
    std::size_t EntryCount = 0;
    double BaseShare = 0;
    RetryUsages Usages;
  };

  /// Current state of the entry.
  struct Gauges {
    std::size_t Requests = 0;
    std::size_t Queued = 0;
    std::size_t CallerConnections = 0;
    std::size_t Entries = 0;
    std::size_t Targets = 0;
    std::uint64_t ConfigurationVersion = 0;
    std::size_t LimitedTargets = 0;
    std::size_t LeavingTargets = 0;
    std::size_t PausedTargets = 0;
    SourcePosition KnownPosition;
    /// Time since this entry was known to have everything that the store had acknowledged; absent
    /// if it never was.
    std::optional<Duration> Staleness = std::nullopt;
  };

  /// A response of a target was delivered to the caller. `Latency` is measured from the arrival of
  /// the request.
  void onResponse(const ServiceName &Service, int Status, Duration Latency, TimePoint Now);
  /// The entry refused a request with a response that it wrote itself. The reason must be one of a
  /// fixed set of texts.
  void onRefused(const std::string &Reason, int Status);
  /// A request of a customer was passed to the dispatcher.
  void onCustomerAdmitted(const CustomerName &Name) { ++this->customerCounts(Name).Admitted; }
  /// The entry refused a request of a customer with a response that it wrote itself.
  void onCustomerRefused(const CustomerName &Name) { ++this->customerCounts(Name).Refused; }
  /// Counts by customer; those beyond the limit together under the name `other`.
  const std::map<CustomerName, CustomerCounts> &customers() const { return this->Customers; }
  /// An attempt was sent to a target. A retry is any attempt after the first of the same request.
  void onAttempt(const ServiceName &Service, bool IsRetry);
  void onAttemptEnd(const ServiceName &Service, AttemptOutcome Outcome);
  void onProbe(bool HasFailed);
  /// The quota of a customer admitted or refused a request.
  void onQuotaDecision(bool IsAdmitted) {
    ++(IsAdmitted ? this->QuotaAdmissions : this->QuotaRefusals);
  }
  void onCallerDisconnected() { ++this->CallerDisconnects; }
  void setUnansweredRequests(const UnansweredCounts &Counts) { this->Unanswered = Counts; }
  void setHedges(const HedgeCounts &Counts) { this->Hedges = Counts; }
  void setLogLinesDropped(const LogLineCounts &Counts) { this->LogLinesDropped = Counts; }
  void setPeerTraffic(const PeerTraffic &Traffic) { this->Peers = Traffic; }
  void setPublicationTraffic(const PublicationTraffic &Traffic) { this->Publications = Traffic; }
  void setMemory(const MemoryAccount &Account);
  void setDispatchCounters(const DispatchCounters &Values) { this->Decisions = Values; }
  void setRetryBudget(RetryBudgetValues Values) { this->RetryValues = std::move(Values); }
  void setGauges(const Gauges &Values) { this->CurrentGauges = Values; }

  /// Returns all series as `text/plain; version=0.0.4`.
  std::string render(TimePoint Now);

private:
  /// Upper bounds of the histogram buckets in seconds; the last bucket is unbounded.
  static constexpr std::array<double, 12> BucketBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                          0.4,   0.8,  1.6,   3.2,  6.4, 12.8};

  struct ServiceSeries {
    LatencyQuantiles Latencies;
    std::array<std::uint64_t, BucketBounds.size() + 1> Buckets{};
    /// Number of responses by status code.
    std::map<int, std::uint64_t> Responses;
    std::map<AttemptOutcome, std::uint64_t> Outcomes;
    std::uint64_t Attempts = 0;
    std::uint64_t Retries = 0;
  };

  class Writer;

  CustomerCounts &customerCounts(const CustomerName &Name);
  ServiceSeries &findOrAddSeries(const ServiceName &Service);
  void writeServices(Writer &Out, TimePoint Now);
  static void writeLatencies(Writer &Out, const std::string &Service, ServiceSeries &Series,
                             TimePoint Now);
  void writeEntry(Writer &Out) const;
  void writeRetryBudget(Writer &Out) const;
  void writeHedges(Writer &Out) const;
  void writeDecisions(Writer &Out) const;
  void writeUnanswered(Writer &Out) const;
  void writeMemory(Writer &Out) const;
  void writePeers(Writer &Out) const;
  void writePublications(Writer &Out) const;

  std::map<ServiceName, ServiceSeries> Services;
  std::map<CustomerName, CustomerCounts> Customers;
  std::map<std::pair<std::string, int>, std::uint64_t> Refusals;
  std::uint64_t Probes = 0;
  std::uint64_t FailedProbes = 0;
  std::uint64_t QuotaAdmissions = 0;
  std::uint64_t QuotaRefusals = 0;
  std::uint64_t CallerDisconnects = 0;
  LogLineCounts LogLinesDropped;
  UnansweredCounts Unanswered;
  HedgeCounts Hedges;
  std::array<std::size_t, MemoryKindCount> HeldBytes{};
  std::size_t MemoryLimitBytes = 0;
  std::size_t WaitingBodies = 0;
  MemoryAccount::Counts MemoryCounts;
  PeerTraffic Peers;
  PublicationTraffic Publications;
  DispatchCounters Decisions;
  RetryBudgetValues RetryValues;
  Gauges CurrentGauges;
};

} // namespace anvilsaddle
