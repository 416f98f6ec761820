#include "transport/ProbeRunner.h"

#include "transport/ConnectionPool.h"
#include "transport/HttpCall.h"
#include "transport/ScheduledCall.h"

#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Longer than a round trip to another region. A reused connection without a response by then is
/// treated as dead.
constexpr Duration ReusedConnectionTimeout = 100ms;
/// Includes establishing the connection.
constexpr Duration NewConnectionTimeout = 250ms;
/// Connections that have been idle for longer are likely to be closed.
constexpr Duration MaxReuseIdleTime = 30s;
constexpr int HealthyStatus = 200;

} // namespace

/// One probe. If it fails on a reused connection, it is retried once on a new one.
class ProbeRunner::ActiveProbe final : public HttpCallListener {
public:
  ActiveProbe(ProbeRunner &Owner, ProbeTarget Probe) : Owner(Owner), Probe(std::move(Probe)) {}

  void start(Duration MaxIdleTime) {
    RequestHead Head;
    Head.Method = "GET";
    Head.RequestTarget = this->Probe.HealthPath;
    Head.Fields = {{"Host", toString(this->Probe.Address)}};
    OutgoingRequest Request;
    Request.Destination = this->Probe.Address;
    Request.Head = writeRequestHead(Head, 0);
    Request.MaxIdleTime = MaxIdleTime;
    this->Call = std::make_unique<HttpCall>(this->Owner.Pool, std::move(Request), *this);
    this->Call->send();
    this->Timer.callAfter(this->Call->isReused() ? ReusedConnectionTimeout : NewConnectionTimeout,
                          [this] { this->retryOrFail("response timeout"); });
  }

  void cancel() {
    this->Call.reset();
    this->Timer.cancel();
  }

  void onResponseHead(const ResponseHead &Head) override {
    const ResponseMetadata Metadata = this->Owner.Protocol.readResponse(Head);
    // Only responses to requests are signed or have an ID, so this is the late response to an
    // earlier request on the same connection.
    const bool BelongsToRequest = Metadata.IsSigned || !Metadata.RequestId.empty();
    if (BelongsToRequest && Head.Framing != BodyFraming::UntilClose) {
      this->Call->skipResponse();
      return;
    }
    this->Status = Head.Status;
    this->Metadata = Metadata;
    this->Call->readMore();
  }

  void onResponseBody(std::string, bool IsEnd) override {
    if (!IsEnd) {
      this->Call->readMore();
      return;
    }
    if (!this->Metadata.Instance.empty() && this->Metadata.Instance != this->Probe.Target) {
      this->fail(ProbeFailure::WrongTarget,
                 "the address belongs to " + this->Metadata.Instance.str());
      return;
    }
    ProbeReport Report;
    Report.Healthy = this->Status == HealthyStatus;
    Report.HasLoad = this->Metadata.Load.has_value();
    Report.Load = this->Metadata.Load.value_or(LoadReport{});
    Report.ColdFor = this->Metadata.RemainingColdTime;
    Report.Conditions = this->Metadata.Conditions;
    Report.RetryAfter = this->Metadata.RetryAfter;
    // Without the name, it may be another target at this address that leaves.
    Report.Conditions.IsLeaving =
        this->Metadata.Conditions.IsLeaving && !this->Metadata.Instance.empty();
    const TargetName Name = this->Probe.Target;
    ProbeRunner &Runner = this->Owner;
    Runner.remove(Name);
    Runner.Notify.OnReport(Name, Report);
  }

  void onCallFailed(const std::string &Reason) override { this->retryOrFail(Reason); }

private:
  void retryOrFail(const std::string &Reason) {
    this->Timer.cancel();
    if (!this->Call->isReused()) {
      this->fail(ProbeFailure::Unreachable, Reason);
      return;
    }
    // The other idle connections are as old as this one and likely dead as well.
    this->Owner.Pool.closeAll(this->Probe.Address);
    this->start(Duration(0));
  }

  void fail(ProbeFailure Failure, const std::string &Reason) {
    const TargetName Name = this->Probe.Target;
    ProbeRunner &Runner = this->Owner;
    Runner.remove(Name);
    Runner.Notify.OnFailure(Name, Failure, Reason);
  }

  ProbeRunner &Owner;
  ProbeTarget Probe;
  std::unique_ptr<HttpCall> Call;
  ScheduledCall Timer;
  int Status = 0;
  ResponseMetadata Metadata;
};

ProbeRunner::ProbeRunner(ConnectionPool &Pool, const RequestMetadataProtocol &Protocol,
                         Callbacks Notify)
    : Pool(Pool), Protocol(Protocol), Notify(std::move(Notify)) {}

ProbeRunner::~ProbeRunner() = default;

void ProbeRunner::start(const ProbeTarget &Probe) {
  this->remove(Probe.Target);
  auto New = std::make_unique<ActiveProbe>(*this, Probe);
  ActiveProbe &Started = *New;
  this->ActiveProbes[Probe.Target] = std::move(New);
  Started.start(MaxReuseIdleTime);
}

void ProbeRunner::remove(const TargetName &Name) {
  const auto Found = this->ActiveProbes.find(Name);
  if (Found == this->ActiveProbes.end()) {
    return;
  }
  Found->second->cancel();
  this->Ended.add(std::move(Found->second));
  this->ActiveProbes.erase(Found);
}

} // namespace anvilsaddle
