#include "transport/AttemptCall.h"

#include "protocol/ForwardMark.h"
#include "transport/TargetConnections.h"

#include <algorithm>
#include <array>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

/// Answers up to this size are kept whole.
constexpr std::size_t MaxKeptBytes = std::size_t{256} * 1024;
/// A request that must not run twice is only sent on a connection that just proved to be open.
constexpr Duration ProvenIdle = 200ms;
constexpr Duration UsualIdle = 5s;
/// Entries keep idle connections for longer than this.
constexpr Duration EntryIdle = 3s;
/// Several round trips to another region.
constexpr Duration EntryConnectLimit = 300ms;
constexpr int FirstErrorStatus = 500;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirection = 300;

/// Statuses by which an entry says that it did not run a request.
constexpr std::array NotRunStatuses = {404, 408, 421, 429, 503};

bool isSuccess(int Status) { return Status >= FirstSuccess && Status < FirstRedirection; }

} // namespace

AttemptCall::AttemptCall(TargetConnections &Connections, const ExchangeProtocol &Protocol,
                         AttemptListener &Listener, SendAttempt Order)
    : Connections(Connections), Protocol(Protocol), Listener(Listener), Order(std::move(Order)) {}

void AttemptCall::start(const RequestHead &Head, const std::string &Text, const std::string &Id,
                        Duration Remaining) {
  this->RequestId = Id;
  RequestHead Passed = Head;
  Passed.Fields = endToEndFields(Head.Fields);
  std::erase_if(Passed.Fields,
                [](const auto &Each) { return equalsIgnoreCase(Each.first, "Expect"); });
  TargetRequest Request;
  if (this->Order.Forward) {
    this->Protocol.setRemainingTime(Passed.Fields, Remaining);
    writeForwardMark(Passed.Fields, *this->Order.Forward);
    Request.MaxIdle = EntryIdle;
    Request.DetectSilence = true;
    Request.ConnectLimit = EntryConnectLimit;
  } else {
    this->Protocol.setTargetHeaders(Passed.Fields, this->Order.Target, Remaining);
    Request.MaxIdle = this->Order.Idempotent ? UsualIdle : ProvenIdle;
  }
  Request.Destination = this->Order.Address;
  Request.Head = writeRequestHead(Passed, Text.size());
  Request.IsHead = Head.Method == "HEAD";
  Request.Body = Text;
  this->Sent = std::make_unique<TargetCall>(this->Connections, std::move(Request), *this);
  this->Sent->send();
}

void AttemptCall::onCallHead(const ResponseHead &Answer) {
  this->Statement = this->Protocol.readResponse(Answer);
  const std::string &Id = this->Statement.RequestId;
  if (!Id.empty() && Id != this->RequestId) {
    if (Answer.Framing == BodyFraming::UntilClose) {
      this->end(AttemptOutcome::Broken, "an answer without end belongs to another request");
      return;
    }
    this->Sent->skipAnswer();
    return;
  }
  this->Head = Answer;
  this->Sent->readMore();
}

void AttemptCall::onCallBytes(std::string Bytes, bool IsEnd) {
  if (this->IsLarge) {
    this->Listener.onAttemptPart(*this, std::move(Bytes), IsEnd);
    return;
  }
  this->Body += Bytes;
  if (IsEnd) {
    this->finish();
    return;
  }
  const bool IsUsable = this->Statement.IsSigned && isSuccess(this->Head.Status) &&
                        this->Head.field("Content-Encoding").empty();
  if (this->Body.size() <= MaxKeptBytes) {
    this->Sent->readMore();
    return;
  }
  if (!IsUsable) {
    this->end(AttemptOutcome::Broken, "a long answer that is not usable");
    return;
  }
  this->IsLarge = true;
  this->Listener.onAttemptLarge(*this);
}

void AttemptCall::finish() {
  if (this->Statement.NotExecuted) {
    this->end(AttemptOutcome::NotRun, "status " + std::to_string(this->Head.Status));
    return;
  }
  const bool IsRefused = this->Order.Forward && !this->Statement.IsSigned &&
                         std::find(NotRunStatuses.begin(), NotRunStatuses.end(),
                                   this->Head.Status) != NotRunStatuses.end();
  if (IsRefused) {
    this->end(AttemptOutcome::NotRun, "the other entry says " + std::to_string(this->Head.Status));
    return;
  }
  if (!this->Statement.IsSigned) {
    this->end(AttemptOutcome::Broken, "the answer is not signed");
    return;
  }
  if (isSuccess(this->Head.Status) && !this->Head.field("Content-Encoding").empty()) {
    this->end(AttemptOutcome::Broken, "the answer has a content coding that nobody asked for");
    return;
  }
  const bool IsError = this->Head.Status >= FirstErrorStatus;
  this->end(IsError ? AttemptOutcome::TargetError : AttemptOutcome::Answered,
            "status " + std::to_string(this->Head.Status));
}

void AttemptCall::onCallFailed(const std::string &Reason) {
  if (this->IsLarge) {
    this->Listener.onAttemptCut(*this, Reason);
    return;
  }
  this->end(this->Sent->isSent() ? AttemptOutcome::Broken : AttemptOutcome::NotSent, Reason);
}

void AttemptCall::end(AttemptOutcome Outcome, const std::string &Detail) {
  AttemptEnd Result;
  Result.Outcome = Outcome;
  Result.Load = this->Statement.Load;
  Result.AnswerBytes = this->Body.size();
  this->Listener.onAttemptEnd(*this, Result, Detail);
}

} // namespace anvilsaddle
