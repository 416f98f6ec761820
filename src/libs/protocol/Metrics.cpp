#include "protocol/Metrics.h"

#include <algorithm>
#include <initializer_list>
#include <locale>
#include <sstream>
#include <string_view>

namespace anvilsaddle {

namespace {

const std::string Other = "other";
/// Stands for a status outside 100 to 599, which a faulty target may send.
constexpr int OtherStatus = 0;

using Label = std::pair<std::string_view, std::string>;

std::string escaped(std::string_view Text) {
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

std::string statusText(int Status) {
  return Status == OtherStatus ? Other : std::to_string(Status);
}

int boundedStatus(int Status) { return Status >= 100 && Status <= 599 ? Status : OtherStatus; }

} // namespace

class Metrics::Writer {
public:
  Writer() {
    this->Out.imbue(std::locale::classic());
    this->Out.precision(9);
  }

  void family(std::string_view Name, std::string_view Type, std::string_view Help) {
    this->Out << "# HELP anvilsaddle_" << Name << ' ' << Help << "\n# TYPE anvilsaddle_" << Name
              << ' ' << Type << '\n';
  }

  template <typename Number>
  void sample(std::string_view Name, std::initializer_list<Label> Labels, Number Value) {
    this->Out << "anvilsaddle_" << Name;
    char Separator = '{';
    for (const auto &[Key, Text] : Labels) {
      this->Out << Separator << Key << "=\"" << escaped(Text) << '"';
      Separator = ',';
    }
    this->Out << (Labels.size() > 0 ? "} " : " ") << Value << '\n';
  }

  /// A family with one sample without labels.
  template <typename Number>
  void single(std::string_view Name, std::string_view Type, std::string_view Help, Number Value) {
    this->family(Name, Type, Help);
    this->sample(Name, {}, Value);
  }

  std::string text() const { return this->Out.str(); }

private:
  std::ostringstream Out;
};

void Metrics::onResponse(const ServiceName &Service, int Status, Duration Latency, TimePoint Now) {
  ServiceSeries &Series = this->series(Service);
  Series.Latencies.add(Latency, Now);
  const double Seconds = std::chrono::duration<double>(Latency).count();
  const auto Bucket = std::lower_bound(Bounds.begin(), Bounds.end(), Seconds) - Bounds.begin();
  ++Series.Buckets.at(static_cast<std::size_t>(Bucket));
  ++Series.Answers[boundedStatus(Status)];
}

void Metrics::onRefused(const std::string &Reason, int Status) {
  const std::pair Key(Reason, Status);
  const bool IsFull = !this->Refusals.contains(Key) && this->Refusals.size() >= MaxReasons;
  ++this->Refusals[IsFull ? std::pair(Other, OtherStatus) : Key];
}

void Metrics::onAttempt(const ServiceName &Service, bool IsRetry) {
  ServiceSeries &Series = this->series(Service);
  ++Series.Attempts;
  Series.Retries += IsRetry ? 1 : 0;
}

void Metrics::onAttemptEnd(const ServiceName &Service, AttemptOutcome Outcome) {
  ++this->series(Service).Outcomes[Outcome];
}

void Metrics::onProbe(bool Failed) {
  ++this->Probes;
  this->FailedProbes += Failed ? 1 : 0;
}

std::string Metrics::render(TimePoint Now) {
  Writer Out;
  this->writeServices(Out, Now);
  this->writeEntry(Out);
  this->writePeers(Out);
  return Out.text();
}

void Metrics::writeLatencies(Writer &Out, const std::string &Service, ServiceSeries &Series,
                             TimePoint Now) {
  std::uint64_t Total = 0;
  for (std::size_t Index = 0; Index < Series.Buckets.size(); ++Index) {
    Total += Series.Buckets.at(Index);
    std::ostringstream Bound;
    Bound.imbue(std::locale::classic());
    if (Index < Bounds.size()) {
      Bound << Bounds.at(Index);
    } else {
      Bound << "+Inf";
    }
    Out.sample("request_duration_seconds_bucket", {{"service", Service}, {"le", Bound.str()}},
               Total);
  }
  Out.sample("request_duration_seconds_sum", {{"service", Service}}, Series.Latencies.sum());
  Out.sample("request_duration_seconds_count", {{"service", Service}}, Series.Latencies.count());
  const LatencyQuantiles::Values Values = Series.Latencies.values(Now);
  for (const auto &[Quantile, Value] :
       {std::pair("0.5", Values.P50), {"0.99", Values.P99}, {"0.999", Values.P999}}) {
    Out.sample("request_duration_recent_seconds", {{"service", Service}, {"quantile", Quantile}},
               Value);
  }
}

void Metrics::writeServices(Writer &Out, TimePoint Now) {
  Out.family("request_duration_seconds", "histogram",
             "Time from the arrival of a request to the end of its answer.");
  for (auto &[Service, Series] : this->Services) {
    writeLatencies(Out, Service.str(), Series, Now);
  }
  Out.family("answers_total", "counter", "Answers of targets by status.");
  Out.family("attempts_total", "counter", "Requests sent to targets.");
  Out.family("repeats_total", "counter", "Attempts after the first of a request.");
  Out.family("attempt_outcomes_total", "counter", "Ends of attempts.");
  for (const auto &[Service, Series] : this->Services) {
    for (const auto &[Status, Count] : Series.Answers) {
      Out.sample("answers_total", {{"service", Service.str()}, {"status", statusText(Status)}},
                 Count);
    }
    Out.sample("attempts_total", {{"service", Service.str()}}, Series.Attempts);
    Out.sample("repeats_total", {{"service", Service.str()}}, Series.Retries);
    for (const auto &[Outcome, Count] : Series.Outcomes) {
      Out.sample("attempt_outcomes_total",
                 {{"service", Service.str()}, {"outcome", toString(Outcome)}}, Count);
    }
  }
}

void Metrics::writeEntry(Writer &Out) const {
  Out.family("refusals_total", "counter", "Requests that the entry itself answered.");
  for (const auto &[Key, Count] : this->Refusals) {
    Out.sample("refusals_total", {{"reason", Key.first}, {"status", statusText(Key.second)}},
               Count);
  }
  Out.single("probes_total", "counter", "Questions to targets for their load.", this->Probes);
  Out.single("failed_probes_total", "counter", "Probes without an answer.", this->FailedProbes);
  Out.single("callers_gone_total", "counter", "Requests whose caller left.",
             this->CallerDisconnects);
  Out.single("log_lines_dropped_total", "counter", "Log lines beyond the bound.",
             this->LogLinesDropped);
  Out.single("requests", "gauge", "Requests without a final answer.", this->Current.Requests);
  Out.single("queued_requests", "gauge", "Requests that wait for a target.", this->Current.Queued);
  Out.single("caller_connections", "gauge", "Connections of callers.",
             this->Current.CallerConnections);
  Out.single("entries", "gauge", "Live entries.", this->Current.Entries);
  Out.single("targets", "gauge", "Registered targets.", this->Current.Targets);
  Out.single("configuration_version", "gauge", "Configuration in force.",
             this->Current.ConfigurationVersion);
}

void Metrics::writePeers(Writer &Out) const {
  Out.family("peer_bytes_total", "counter", "UDP payload exchanged with other entries.");
  Out.sample("peer_bytes_total", {{"direction", "in"}}, this->Peers.BytesIn);
  Out.sample("peer_bytes_total", {{"direction", "out"}}, this->Peers.BytesOut);
  Out.family("peer_datagrams_total", "counter",
             "Datagrams accepted from and sent to other entries.");
  Out.sample("peer_datagrams_total", {{"direction", "in"}}, this->Peers.DatagramsIn);
  Out.sample("peer_datagrams_total", {{"direction", "out"}}, this->Peers.DatagramsOut);
  Out.single("peer_send_failures_total", "counter", "Messages that the network did not take.",
             this->Peers.SendFailures);
  Out.family("peer_rejected_total", "counter", "Datagrams dropped, by reason.");
  for (std::size_t Index = 0; Index < PeerRejectionCount; ++Index) {
    Out.sample("peer_rejected_total", {{"reason", toString(static_cast<PeerRejection>(Index))}},
               this->Peers.Rejected.at(Index));
  }
}

Metrics::ServiceSeries &Metrics::series(const ServiceName &Service) {
  const auto Found = this->Services.find(Service);
  if (Found != this->Services.end()) {
    return Found->second;
  }
  return this->Services[this->Services.size() < MaxServices ? Service : ServiceName(Other)];
}

} // namespace anvilsaddle
