#include "protocol/Metrics.h"

#include <initializer_list>
#include <locale>
#include <sstream>
#include <string_view>
#include <utility>

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

class Writer {
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

  std::string text() const { return this->Out.str(); }

private:
  std::ostringstream Out;
};

const char *name(RequestClass Class) {
  return Class == RequestClass::Bulk ? "bulk" : "interactive";
}

const char *name(RunOutcome Outcome) {
  return Outcome == RunOutcome::NotRun ? "not-run" : "unknown";
}

std::string statusText(int Status) {
  return Status == OtherStatus ? Other : std::to_string(Status);
}

int boundedStatus(int Status) { return Status >= 100 && Status <= 599 ? Status : OtherStatus; }

void writeLatencies(Writer &Out, const std::string &Service, const char *Class,
                    LatencyQuantiles &Quantiles, TimePoint Now) {
  const LatencyQuantiles::Values Values = Quantiles.values(Now);
  for (const auto &[Quantile, Value] :
       {std::pair("0.5", Values.P50), {"0.99", Values.P99}, {"0.999", Values.P999}}) {
    Out.sample("request_duration_seconds",
               {{"service", Service}, {"class", Class}, {"quantile", Quantile}}, Value);
  }
  Out.sample("request_duration_seconds_sum", {{"service", Service}, {"class", Class}},
             Quantiles.sum());
  Out.sample("request_duration_seconds_count", {{"service", Service}, {"class", Class}},
             Quantiles.count());
}

void writePeers(Writer &Out, const PeerTraffic &Peers) {
  Out.family("peer_bytes_total", "counter", "UDP payload exchanged with other entries.");
  Out.sample("peer_bytes_total", {{"direction", "in"}}, Peers.BytesIn);
  Out.sample("peer_bytes_total", {{"direction", "out"}}, Peers.BytesOut);
  Out.family("peer_datagrams_total", "counter",
             "Datagrams accepted from and sent to other entries.");
  Out.sample("peer_datagrams_total", {{"direction", "in"}}, Peers.MessagesIn);
  Out.sample("peer_datagrams_total", {{"direction", "out"}}, Peers.DatagramsOut);
  Out.family("peer_send_failures_total", "counter", "Messages that the network did not take.");
  Out.sample("peer_send_failures_total", {}, Peers.SendFailures);
  Out.family("peer_rejected_total", "counter", "Datagrams dropped, by reason.");
  for (std::size_t Index = 0; Index < PeerRejectionCount; ++Index) {
    Out.sample("peer_rejected_total", {{"reason", toString(static_cast<PeerRejection>(Index))}},
               Peers.Rejected[Index]);
  }
}

} // namespace

void Metrics::onAnswered(const ServiceName &Service, RequestClass Class, int Status,
                         Duration Latency, TimePoint Now) {
  ServiceSeries &Series = this->series(Service);
  Series.Latencies[Class].add(Latency, Now);
  ++Series.Requests[boundedStatus(Status)];
}

void Metrics::onRefused(const Refusal &Answer) {
  std::tuple Key(Answer.Outcome, boundedStatus(Answer.Status), Answer.Reason);
  if (!this->Refusals.contains(Key) && this->Refusals.size() >= MaxReasons) {
    std::get<std::string>(Key) = Other;
    std::get<int>(Key) = OtherStatus;
  }
  ++this->Refusals[Key];
}

void Metrics::onRetry(const ServiceName &Service) { ++this->series(Service).Retries; }

void Metrics::onMeasurement(std::uint64_t Bytes) {
  ++this->MeasurementCalls;
  this->MeasurementBytes += Bytes;
}

std::string Metrics::render(TimePoint Now) {
  Writer Out;
  Out.family("request_duration_seconds", "summary",
             "Time from the arrival of a request to the end of its answer.");
  for (auto &[Service, Series] : this->Services) {
    for (auto &[Class, Quantiles] : Series.Latencies) {
      writeLatencies(Out, Service.str(), name(Class), Quantiles, Now);
    }
  }
  Out.family("requests_total", "counter", "Answers of targets by status.");
  for (const auto &[Service, Series] : this->Services) {
    for (const auto &[Status, Count] : Series.Requests) {
      Out.sample("requests_total", {{"service", Service.str()}, {"status", statusText(Status)}},
                 Count);
    }
  }
  Out.family("refusals_total", "counter", "Requests that the entry itself answered.");
  for (const auto &[Key, Count] : this->Refusals) {
    const auto &[Outcome, Status, Reason] = Key;
    Out.sample("refusals_total",
               {{"outcome", name(Outcome)}, {"status", statusText(Status)}, {"reason", Reason}},
               Count);
  }
  Out.family("retries_total", "counter", "Attempts after the first of a request.");
  for (const auto &[Service, Series] : this->Services) {
    Out.sample("retries_total", {{"service", Service.str()}}, Series.Retries);
  }
  Out.family("measurement_calls_total", "counter", "Calls to targets for load measurement.");
  Out.sample("measurement_calls_total", {}, this->MeasurementCalls);
  Out.family("measurement_bytes_total", "counter", "Bytes of calls for load measurement.");
  Out.sample("measurement_bytes_total", {}, this->MeasurementBytes);
  writePeers(Out, this->Peers);
  return Out.text();
}

Metrics::ServiceSeries &Metrics::series(const ServiceName &Service) {
  const auto Found = this->Services.find(Service);
  if (Found != this->Services.end()) {
    return Found->second;
  }
  return this->Services[this->Services.size() < MaxServices ? Service : ServiceName(Other)];
}

} // namespace anvilsaddle
