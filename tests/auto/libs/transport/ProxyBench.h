#pragma once

#include "Loopback.h"
#include "protocol/ForwardHeaders.h"
#include "protocol/OpenSslSealer.h"
#include "transport/Clock.h"
#include "transport/ProxyExchange.h"
#include "transport/RequestServer.h"
#include "transport/TargetConnections.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Clock that tests set.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return this->Value; }
  std::int64_t unixMilliseconds() const override { return 0; }
  TimePoint Value{};
};

/// RequestServer and exchanges with the simplest decisions: each request goes to one destination,
/// and a failed attempt is refused with 502.
class ProxyBench final : public RequestHandler, public ExchangeListener {
public:
  explicit ProxyBench(std::uint16_t TargetPort, bool PeersOnly = false,
                      std::int64_t MaxBodyBytes = 1 << 20)
      : TargetPort(TargetPort), MaxBodyBytes(MaxBodyBytes), Connections(this->Time),
        Forwarding(this->Seals) {
    RequestServerLimits Limits;
    Limits.MaxBodyBytes = MaxBodyBytes;
    Limits.Sweep = std::chrono::milliseconds(1);
    this->Server = std::make_unique<RequestServer>(Limits, PeersOnly ? &this->Forwarding : nullptr,
                                                   this->Time, *this);
    // Any free port; another program may take it first.
    for (int Try = 0; Try < 20 && this->Port == 0; ++Try) {
      const std::uint16_t Free = ScriptedServer([](RawConnection &, int) {}).Port;
      this->Port = this->Server->listen("127.0.0.1", Free).empty() ? Free : 0;
    }
  }

  std::optional<Refusal> checkHead(const RequestHead &Head) override {
    Refusal Answer;
    Answer.Status = 403;
    return Head.Path == "/forbidden" ? std::optional(Answer) : std::nullopt;
  }
  std::optional<Refusal> onRequest(SoupServerMessage *Message, RequestHead Head,
                                   bool BodyFollows) override {
    const RequestNumber Number = ++this->Last;
    this->Heads.push_back(Head);
    auto Next = std::make_unique<ProxyExchange>(
        Number, "bench-" + std::to_string(Number), Message, Head, BodyFollows, this->MaxBodyBytes,
        this->Connections, this->Forwarding, this->Time, *this);
    ProxyExchange *Added = this->Exchanges.emplace(Number, std::move(Next)).first->second.get();
    if (this->Hold) {
      return std::nullopt;
    }
    if (this->Forward) {
      StartForward Effect;
      Effect.Request = Number;
      Effect.Destination = {"127.0.0.1", this->TargetPort};
      Effect.Mark = *this->Forward;
      Effect.Deadline = this->Time.Value + std::chrono::minutes(1);
      Added->startForward(Effect);
      return std::nullopt;
    }
    this->start(Number);
    return std::nullopt;
  }
  void start(RequestNumber Number) {
    StartAttempt Effect;
    Effect.Request = Number;
    Effect.Destination = {"127.0.0.1", this->TargetPort};
    Effect.Deadline = this->Time.Value + this->Patience;
    this->Exchanges.at(Number)->startAttempt(Effect);
  }

  bool onAnswerHead(RequestNumber, int Status, bool HasRetryAfter) override {
    return Status != 503 || !HasRetryAfter;
  }
  void onAttemptEnd(RequestNumber Request, const AttemptReport &Report) override {
    this->Reports.push_back(Report);
    if (Report.Outcome == AttemptOutcome::Succeeded || Report.AnswerStarted ||
        Report.Outcome == AttemptOutcome::Cancelled) {
      return;
    }
    Refusal Answer;
    Answer.Status = Report.Outcome == AttemptOutcome::DeadlineExceeded ? 504 : 502;
    Answer.Outcome = Report.Sent ? RunOutcome::Unknown : RunOutcome::NotRun;
    this->Exchanges.at(Request)->refuse(Answer);
  }
  void onCallerGone(RequestNumber) override { ++this->CallersGone; }
  void onExchangeDone(RequestNumber Request) override { this->Exchanges.erase(Request); }

  ManualClock Time;
  std::uint16_t TargetPort;
  std::int64_t MaxBodyBytes;
  std::uint16_t Port = 0;
  bool Hold = false;
  Duration Patience = std::chrono::minutes(1);
  std::optional<ForwardMark> Forward;
  std::vector<RequestHead> Heads;
  std::vector<AttemptReport> Reports;
  int CallersGone = 0;
  OpenSslSealer Seals{"bench-key-0123456789"};
  TargetConnections Connections;
  ForwardHeaders Forwarding;
  std::unique_ptr<RequestServer> Server;
  std::map<RequestNumber, std::unique_ptr<ProxyExchange>> Exchanges;

private:
  RequestNumber Last = 0;
};

} // namespace anvilsaddle
