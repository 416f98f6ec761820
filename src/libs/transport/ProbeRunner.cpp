#include "transport/ProbeRunner.h"

#include "transport/TargetCall.h"
#include "transport/TargetConnections.h"

#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// A connection that went silent is given up after this time, which is longer than a round trip to
/// another region.
constexpr guint SilentMilliseconds = 100;
/// Longest wait for an answer on a new connection.
constexpr guint TimeoutMilliseconds = 250;
/// Connections that were used longer ago are likely to be closed.
constexpr Duration MaxIdle = 30s;
constexpr int HealthyStatus = 200;

} // namespace

/// One probe; on a connection that was open before, it is tried once more on a new one.
class ProbeRunner::Run final : public TargetCallListener {
public:
  Run(ProbeRunner &Owner, ProbeTarget Probe) : Owner(Owner), Probe(std::move(Probe)) {}
  ~Run() override { g_clear_handle_id(&this->Timer, g_source_remove); }

  void start(Duration Idle) {
    RequestHead Head;
    Head.Method = "GET";
    Head.Target = this->Probe.HealthPath;
    Head.Fields = {{"Host", toString(this->Probe.Address)}};
    TargetRequest Request;
    Request.Destination = this->Probe.Address;
    Request.Head = writeRequestHead(Head, 0);
    Request.MaxIdle = Idle;
    this->Call = std::make_unique<TargetCall>(this->Owner.Connections, std::move(Request), *this);
    this->Call->send();
    const guint Wait = this->Call->isReused() ? SilentMilliseconds : TimeoutMilliseconds;
    this->Timer = g_timeout_add(Wait, onTimeout, this);
  }

  void stop() {
    this->Call.reset();
    g_clear_handle_id(&this->Timer, g_source_remove);
  }

  void onCallHead(const ResponseHead &Head) override {
    const ResponseMetadata Statement = this->Owner.Protocol.readResponse(Head);
    // Only the answer to a request is signed; this one came late and belongs to an earlier request.
    if (Statement.IsSigned && Head.Framing != BodyFraming::UntilClose) {
      this->Call->skipAnswer();
      return;
    }
    this->Status = Head.Status;
    this->Statement = Statement;
    this->Call->readMore();
  }

  void onCallBytes(std::string, bool IsEnd) override {
    if (!IsEnd) {
      this->Call->readMore();
      return;
    }
    if (!this->Statement.Instance.empty() && this->Statement.Instance != this->Probe.Target) {
      this->fail(ProbeFailure::OtherTarget,
                 "the address belongs to " + this->Statement.Instance.str());
      return;
    }
    ProbeReport Report;
    Report.Healthy = this->Status == HealthyStatus;
    Report.HasLoad = this->Statement.Load.has_value();
    Report.Load = this->Statement.Load.value_or(LoadReport{});
    Report.ColdFor = this->Statement.ColdFor;
    const TargetName Name = this->Probe.Target;
    ProbeRunner &Runner = this->Owner;
    Runner.finish(Name);
    Runner.Events.OnReport(Name, Report);
  }

  void onCallFailed(const std::string &Reason) override { this->retryOrFail(Reason); }

private:
  static gboolean onTimeout(gpointer Data) {
    auto &Self = *static_cast<Run *>(Data);
    Self.Timer = 0;
    Self.retryOrFail("no answer in time");
    return G_SOURCE_REMOVE;
  }

  void retryOrFail(const std::string &Reason) {
    g_clear_handle_id(&this->Timer, g_source_remove);
    if (!this->Call->isReused()) {
      this->fail(ProbeFailure::Unreachable, Reason);
      return;
    }
    // The other connections are as old as this one.
    this->Owner.Connections.drop(this->Probe.Address);
    this->start(Duration(0));
  }

  void fail(ProbeFailure Failure, const std::string &Reason) {
    const TargetName Name = this->Probe.Target;
    ProbeRunner &Runner = this->Owner;
    Runner.finish(Name);
    Runner.Events.OnFailure(Name, Failure, Reason);
  }

  ProbeRunner &Owner;
  ProbeTarget Probe;
  std::unique_ptr<TargetCall> Call;
  guint Timer = 0;
  int Status = 0;
  ResponseMetadata Statement;
};

ProbeRunner::ProbeRunner(TargetConnections &Connections, const ExchangeProtocol &Protocol,
                         Listener Events)
    : Connections(Connections), Protocol(Protocol), Events(std::move(Events)) {}

ProbeRunner::~ProbeRunner() = default;

void ProbeRunner::start(const ProbeTarget &Probe) {
  this->finish(Probe.Target);
  auto Added = std::make_unique<Run>(*this, Probe);
  Run &Started = *Added;
  this->Runs[Probe.Target] = std::move(Added);
  Started.start(MaxIdle);
}

void ProbeRunner::finish(const TargetName &Name) {
  const auto Found = this->Runs.find(Name);
  if (Found == this->Runs.end()) {
    return;
  }
  Found->second->stop();
  this->Ended.add(std::move(Found->second));
  this->Runs.erase(Found);
}

} // namespace anvilsaddle
