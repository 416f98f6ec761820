#include "protocol/Metrics.h"

#include <algorithm>
#include <initializer_list>
#include <locale>
#include <sstream>
#include <string_view>

namespace anvilsaddle {

namespace {

const std::string OtherLabel = "other";
/// Replaces a status outside 100 to 599, which a faulty target may send. Also stands for the
/// statuses of all refusals beyond `MaxRefusalSeries`.
constexpr int OtherStatus = 0;

using Label = std::pair<std::string_view, std::string>;

std::string escapeLabelValue(std::string_view Text) {
  std::string Result;
  for (const char Character : Text) {
    if (Character == '\n') {
      Result += "\\n";
      continue;
    }
    if (Character == '\\' || Character == '"') {
      Result += '\\';
    }
    Result += Character;
  }
  return Result;
}

std::string statusLabel(int Status) {
  return Status == OtherStatus ? OtherLabel : std::to_string(Status);
}

int normalizeStatus(int Status) { return Status >= 100 && Status <= 599 ? Status : OtherStatus; }

} // namespace

class Metrics::Writer {
public:
  Writer() {
    this->Out.imbue(std::locale::classic());
    this->Out.precision(9);
  }

  void writeFamily(std::string_view Name, std::string_view Type, std::string_view Help) {
    this->Out << "# HELP anvilsaddle_" << Name << ' ' << Help << "\n# TYPE anvilsaddle_" << Name
              << ' ' << Type << '\n';
  }

  template <typename Number>
  void writeSample(std::string_view Name, std::initializer_list<Label> Labels, Number Value) {
    this->Out << "anvilsaddle_" << Name;
    char Separator = '{';
    for (const auto &[Key, Text] : Labels) {
      this->Out << Separator << Key << "=\"" << escapeLabelValue(Text) << '"';
      Separator = ',';
    }
    this->Out << (Labels.size() > 0 ? "} " : " ") << Value << '\n';
  }

  /// Writes a metric family with a single sample without labels.
  template <typename Number>
  void writeSingleSample(std::string_view Name, std::string_view Type, std::string_view Help,
                         Number Value) {
    this->writeFamily(Name, Type, Help);
    this->writeSample(Name, {}, Value);
  }

  std::string text() const { return this->Out.str(); }

private:
  std::ostringstream Out;
};

void Metrics::onResponse(const ServiceName &Service, int Status, Duration Latency, TimePoint Now) {
  ServiceSeries &Series = this->findOrAddSeries(Service);
  Series.Latencies.add(Latency, Now);
  const double Seconds = std::chrono::duration<double>(Latency).count();
  const auto Bucket =
      std::lower_bound(BucketBounds.begin(), BucketBounds.end(), Seconds) - BucketBounds.begin();
  ++Series.Buckets.at(static_cast<std::size_t>(Bucket));
  ++Series.Responses[normalizeStatus(Status)];
}

void Metrics::onRefused(const std::string &Reason, int Status) {
  const std::pair Key(Reason, Status);
  const bool IsBeyondLimit =
      !this->Refusals.contains(Key) && this->Refusals.size() >= MaxRefusalSeries;
  ++this->Refusals[IsBeyondLimit ? std::pair(OtherLabel, OtherStatus) : Key];
}

Metrics::CustomerCounts &Metrics::customerCounts(const CustomerName &Name) {
  const bool IsBeyondLimit =
      !this->Customers.contains(Name) && this->Customers.size() >= MaxCustomers;
  return this->Customers[IsBeyondLimit ? CustomerName(OtherLabel) : Name];
}

void Metrics::onAttempt(const ServiceName &Service, bool IsRetry) {
  ServiceSeries &Series = this->findOrAddSeries(Service);
  ++Series.Attempts;
  Series.Retries += IsRetry ? 1 : 0;
}

void Metrics::onAttemptEnd(const ServiceName &Service, AttemptOutcome Outcome) {
  ++this->findOrAddSeries(Service).Outcomes[Outcome];
}

void Metrics::onProbe(bool HasFailed) {
  ++this->Probes;
  this->FailedProbes += HasFailed ? 1 : 0;
}

std::string Metrics::render(TimePoint Now) {
  Writer Out;
  this->writeServices(Out, Now);
  this->writeEntry(Out);
  this->writeRetryBudget(Out);
  this->writeHedges(Out);
  this->writeDecisions(Out);
  this->writeUnanswered(Out);
  this->writeMemory(Out);
  this->writePeers(Out);
  this->writePublications(Out);
  return Out.text();
}

void Metrics::writeLatencies(Writer &Out, const std::string &Service, ServiceSeries &Series,
                             TimePoint Now) {
  std::uint64_t Total = 0;
  for (std::size_t Index = 0; Index < Series.Buckets.size(); ++Index) {
    Total += Series.Buckets.at(Index);
    std::ostringstream Bound;
    Bound.imbue(std::locale::classic());
    if (Index < BucketBounds.size()) {
      Bound << BucketBounds.at(Index);
    } else {
      Bound << "+Inf";
    }
    Out.writeSample("request_duration_seconds_bucket", {{"service", Service}, {"le", Bound.str()}},
                    Total);
  }
  Out.writeSample("request_duration_seconds_sum", {{"service", Service}}, Series.Latencies.sum());
  Out.writeSample("request_duration_seconds_count", {{"service", Service}},
                  Series.Latencies.count());
  const LatencyQuantiles::Values Values = Series.Latencies.values(Now);
  for (const auto &[Quantile, Value] :
       {std::pair("0.5", Values.P50), {"0.99", Values.P99}, {"0.999", Values.P999}}) {
    Out.writeSample("request_duration_recent_seconds",
                    {{"service", Service}, {"quantile", Quantile}}, Value);
  }
}

void Metrics::writeServices(Writer &Out, TimePoint Now) {
  Out.writeFamily("request_duration_seconds", "histogram",
                  "Time from the arrival of a request to the end of its response.");
  for (auto &[Service, Series] : this->Services) {
    writeLatencies(Out, Service.str(), Series, Now);
  }
  Out.writeFamily("answers_total", "counter", "Responses of targets by status code.");
  Out.writeFamily("attempts_total", "counter", "Requests sent to targets.");
  Out.writeFamily("repeats_total", "counter", "Attempts after the first of a request.");
  Out.writeFamily("attempt_outcomes_total", "counter", "Finished attempts by outcome.");
  for (const auto &[Service, Series] : this->Services) {
    for (const auto &[Status, Count] : Series.Responses) {
      Out.writeSample("answers_total",
                      {{"service", Service.str()}, {"status", statusLabel(Status)}}, Count);
    }
    Out.writeSample("attempts_total", {{"service", Service.str()}}, Series.Attempts);
    Out.writeSample("repeats_total", {{"service", Service.str()}}, Series.Retries);
    for (const auto &[Outcome, Count] : Series.Outcomes) {
      Out.writeSample("attempt_outcomes_total",
                      {{"service", Service.str()}, {"outcome", toString(Outcome)}}, Count);
    }
  }
}

void Metrics::writeEntry(Writer &Out) const {
  Out.writeFamily("refusals_total", "counter",
                  "Requests refused by the entry, by reason and status code.");
  for (const auto &[Key, Count] : this->Refusals) {
    Out.writeSample("refusals_total", {{"reason", Key.first}, {"status", statusLabel(Key.second)}},
                    Count);
  }
  Out.writeFamily("quota_decisions_total", "counter",
                  "Requests of customers by the decision of their quota.");
  Out.writeSample("quota_decisions_total", {{"decision", "admitted"}}, this->QuotaAdmissions);
  Out.writeSample("quota_decisions_total", {{"decision", "refused"}}, this->QuotaRefusals);
  if (!this->Customers.empty()) {
    Out.writeFamily("customer_requests_total", "counter",
                    "Requests of callers by customer, admitted to the dispatcher or refused.");
  }
  for (const auto &[Name, Counts] : this->Customers) {
    Out.writeSample("customer_requests_total", {{"customer", Name.str()}, {"decision", "admitted"}},
                    Counts.Admitted);
    Out.writeSample("customer_requests_total", {{"customer", Name.str()}, {"decision", "refused"}},
                    Counts.Refused);
  }
  Out.writeSingleSample("probes_total", "counter", "Load probes sent to targets.", this->Probes);
  Out.writeSingleSample("failed_probes_total", "counter", "Probes without a usable response.",
                        this->FailedProbes);
  Out.writeSingleSample("callers_gone_total", "counter", "Requests whose caller disconnected.",
                        this->CallerDisconnects);
  Out.writeSingleSample("log_lines_dropped_total", "counter",
                        "Log lines dropped because the log buffer was full.",
                        this->LogLinesDropped.total());
  Out.writeFamily("log_lines_dropped_by_importance_total", "counter",
                  "The same lines by importance: details of requests, or changes of state.");
  Out.writeSample("log_lines_dropped_by_importance_total", {{"importance", "detail"}},
                  this->LogLinesDropped.Detail);
  Out.writeSample("log_lines_dropped_by_importance_total", {{"importance", "state"}},
                  this->LogLinesDropped.State);
  Out.writeSingleSample("requests", "gauge", "Requests without a final response.",
                        this->CurrentGauges.Requests);
  Out.writeSingleSample("queued_requests", "gauge", "Requests queued for a target.",
                        this->CurrentGauges.Queued);
  Out.writeSingleSample("caller_connections", "gauge", "Open connections of callers.",
                        this->CurrentGauges.CallerConnections);
  Out.writeSingleSample("entries", "gauge", "Live entries.", this->CurrentGauges.Entries);
  Out.writeSingleSample("targets", "gauge", "Registered targets.", this->CurrentGauges.Targets);
  Out.writeSingleSample("limited_targets", "gauge",
                        "Targets that demand a limit of their requests.",
                        this->CurrentGauges.LimitedTargets);
  Out.writeSingleSample("paused_targets", "gauge",
                        "Targets that have asked this entry to send nothing for a time.",
                        this->CurrentGauges.PausedTargets);
  Out.writeSingleSample("leaving_targets", "gauge",
                        "Registered targets that announced in a response that they leave.",
                        this->CurrentGauges.LeavingTargets);
  Out.writeSingleSample("configuration_version", "gauge", "Version of the active configuration.",
                        this->CurrentGauges.ConfigurationVersion);
  Out.writeSingleSample("store_epoch", "gauge",
                        "Epoch of the store from which the publications are.",
                        this->CurrentGauges.KnownPosition.Epoch);
  Out.writeSingleSample("store_revision", "gauge",
                        "Revision of the store in its epoch up to which publications are known.",
                        this->CurrentGauges.KnownPosition.Revision);
  if (const auto &Staleness = this->CurrentGauges.Staleness) {
    Out.writeSingleSample("publication_staleness_seconds", "gauge",
                          "Time since everything that the store had acknowledged was known.",
                          std::chrono::duration<double>(*Staleness).count());
  }
}

void Metrics::writeRetryBudget(Writer &Out) const {
  Out.writeSingleSample("repeat_budget_entries", "gauge",
                        "Entries by which the repeats allowed without requests are divided.",
                        this->RetryValues.EntryCount);
  Out.writeSingleSample("repeat_budget_base", "gauge",
                        "Repeats of each service that this entry may send without requests.",
                        this->RetryValues.BaseShare);
  Out.writeFamily("repeats_allowed", "gauge", "Repeats that this entry may send in the window.");
  Out.writeFamily("repeats_in_window", "gauge", "Repeats that this entry has sent in the window.");
  Out.writeFamily("repeat_budget_requests", "gauge",
                  "Requests in the window for which this entry may send repeats.");
  std::size_t Remaining = MaxServices;
  for (const auto &[Service, Usage] : this->RetryValues.Usages) {
    if (Remaining-- == 0) {
      break;
    }
    Out.writeSample("repeats_allowed", {{"service", Service.str()}}, Usage.Allowed);
    Out.writeSample("repeats_in_window", {{"service", Service.str()}}, Usage.Used);
    Out.writeSample("repeat_budget_requests", {{"service", Service.str()}}, Usage.Requests);
  }
}

void Metrics::writeHedges(Writer &Out) const {
  Out.writeSingleSample("hedges_total", "counter",
                        "Hedges sent within the limit that operators set.", this->Hedges.Sent);
  Out.writeSingleSample("hedges_won_total", "counter",
                        "Hedges whose response was delivered to the caller.", this->Hedges.Won);
  Out.writeFamily("hedges_withheld_total", "counter",
                  "Requests for which a hedge was due and was not sent, by the first reason.");
  for (std::size_t Index = 0; Index < HedgeObstacleCount; ++Index) {
    Out.writeSample("hedges_withheld_total",
                    {{"reason", toString(static_cast<HedgeObstacle>(Index))}},
                    this->Hedges.Withheld.at(Index));
  }
}

void Metrics::writeDecisions(Writer &Out) const {
  Out.writeFamily("dispatch_decisions_total", "counter", "Decisions of the dispatcher, by kind.");
  const auto Write = [&Out](const char *Kind, std::uint64_t Count) {
    Out.writeSample("dispatch_decisions_total", {{"decision", Kind}}, Count);
  };
  Write("run_deferred", this->Decisions.RunsDeferred);
  Write("run_refused", this->Decisions.RunsRefused);
  Write("run_explored", this->Decisions.RunsExplored);
  Write("wait_refused", this->Decisions.WaitsRefused);
  Write("caller_returned", this->Decisions.CallersReturned);
  Write("retry_spread", this->Decisions.RetriesSpread);
  Write("rejected_with_room", this->Decisions.RejectionsWithRoom);
  Write("rejected_when_full", this->Decisions.RejectionsWhenFull);
  Write("pause_requested", this->Decisions.PausesRequested);
  Write("pause_refused", this->Decisions.PausesRefused);
}

void Metrics::writeUnanswered(Writer &Out) const {
  Out.writeFamily("unanswered_requests_total", "counter",
                  "Requests whose connection ended before the response was complete, by the reason "
                  "for the end and the stage of the request.");
  for (std::size_t Reason = 0; Reason < CloseReasonCount; ++Reason) {
    for (std::size_t Stage = 0; Stage < RequestStageCount; ++Stage) {
      const auto ReasonValue = static_cast<CloseReason>(Reason);
      const auto StageValue = static_cast<RequestStage>(Stage);
      Out.writeSample("unanswered_requests_total",
                      {{"reason", toString(ReasonValue)}, {"stage", toString(StageValue)}},
                      this->Unanswered.count(ReasonValue, StageValue));
    }
  }
}

void Metrics::setMemory(const MemoryAccount &Account) {
  for (std::size_t Index = 0; Index < MemoryKindCount; ++Index) {
    this->HeldBytes.at(Index) = Account.used(static_cast<MemoryKind>(Index));
  }
  this->MemoryLimitBytes = Account.limits().TotalBytes;
  this->WaitingBodies = Account.waitingCount();
  this->MemoryCounts = Account.counts();
}

void Metrics::writeMemory(Writer &Out) const {
  Out.writeFamily("held_bytes", "gauge", "Bytes that the entry holds for callers, by kind.");
  for (std::size_t Index = 0; Index < MemoryKindCount; ++Index) {
    Out.writeSample("held_bytes", {{"kind", toString(static_cast<MemoryKind>(Index))}},
                    this->HeldBytes.at(Index));
  }
  Out.writeSingleSample("held_bytes_limit", "gauge", "Bytes that the entry may hold for callers.",
                        this->MemoryLimitBytes);
  Out.writeSingleSample("waiting_bodies", "gauge",
                        "Request bodies that are not read until memory is free.",
                        this->WaitingBodies);
  Out.writeSingleSample("body_pauses_total", "counter",
                        "Times that the reading of a request body paused for memory.",
                        this->MemoryCounts.Pauses);
  Out.writeFamily("memory_refusals_total", "counter",
                  "Requests and connections ended to free memory, by reason.");
  for (const auto &[Reason, Count] : {std::pair("no_memory", this->MemoryCounts.Refusals),
                                      {"slow_sender", this->MemoryCounts.SlowSenders},
                                      {"slow_reader", this->MemoryCounts.SlowReaders}}) {
    Out.writeSample("memory_refusals_total", {{"reason", Reason}}, Count);
  }
}

void Metrics::writePeers(Writer &Out) const {
  Out.writeFamily("peer_bytes_total", "counter", "UDP payload exchanged with other entries.");
  Out.writeSample("peer_bytes_total", {{"direction", "in"}}, this->Peers.BytesIn);
  Out.writeSample("peer_bytes_total", {{"direction", "out"}}, this->Peers.BytesOut);
  Out.writeFamily("peer_datagrams_total", "counter",
                  "Datagrams accepted from and sent to other entries.");
  Out.writeSample("peer_datagrams_total", {{"direction", "in"}}, this->Peers.DatagramsIn);
  Out.writeSample("peer_datagrams_total", {{"direction", "out"}}, this->Peers.DatagramsOut);
  Out.writeSingleSample("peer_send_failures_total", "counter",
                        "Datagrams that the socket could not send.", this->Peers.SendFailures);
  Out.writeFamily("peer_rejected_total", "counter", "Datagrams rejected, by reason.");
  for (std::size_t Index = 0; Index < PeerRejectionCount; ++Index) {
    Out.writeSample("peer_rejected_total",
                    {{"reason", toString(static_cast<PeerRejection>(Index))}},
                    this->Peers.Rejected.at(Index));
  }
}

void Metrics::writePublications(Writer &Out) const {
  Out.writeFamily("publications_served_total", "counter",
                  "Responses with publications sent to other entries, by content.");
  Out.writeSample("publications_served_total", {{"content", "snapshot"}},
                  this->Publications.SnapshotsOut);
  Out.writeSample("publications_served_total", {{"content", "changes"}},
                  this->Publications.ChangesOut);
  Out.writeFamily("publication_bytes_total", "counter",
                  "Bytes of publications exchanged with other entries.");
  Out.writeSample("publication_bytes_total", {{"direction", "in"}}, this->Publications.BytesIn);
  Out.writeSample("publication_bytes_total", {{"direction", "out"}}, this->Publications.BytesOut);
  Out.writeSingleSample("publication_fetches_total", "counter",
                        "Requests for publications to other entries.", this->Publications.Fetches);
  Out.writeSingleSample("publication_fetches_failed_total", "counter",
                        "Requests for publications without a usable response.",
                        this->Publications.FailedFetches);
  Out.writeSingleSample("publication_notice_requests_total", "counter",
                        "Requests for notices to entries of other regions.",
                        this->Publications.NoticeRequests);
  Out.writeSingleSample("publication_notice_replies_total", "counter",
                        "Replies of entries of other regions.", this->Publications.NoticeReplies);
}

Metrics::ServiceSeries &Metrics::findOrAddSeries(const ServiceName &Service) {
  const auto Found = this->Services.find(Service);
  if (Found != this->Services.end()) {
    return Found->second;
  }
  return this->Services[this->Services.size() < MaxServices ? Service : ServiceName(OtherLabel)];
}

} // namespace anvilsaddle
