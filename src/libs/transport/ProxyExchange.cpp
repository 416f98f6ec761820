#include "transport/ProxyExchange.h"

#include "protocol/ForwardHeaders.h"
#include "transport/Clock.h"
#include "transport/EarlyAnswer.h"
#include "transport/ProxyHeaders.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace anvilsaddle {

namespace {
/// Answers up to this length are passed on once they are complete: a target that fails within one
/// then leads to a clear refusal instead of a closed connection, and fewer writes are needed.
constexpr std::uint64_t MaxKeptAnswer = 65536;
} // namespace

ProxyExchange::ProxyExchange(RequestNumber Number, std::string RequestId, SoupServerMessage *Caller,
                             RequestHead Head, bool BodyFollows, std::int64_t MaxBodyBytes,
                             TargetConnections &Connections, const ForwardHeaders &Forwarding,
                             const Clock &Time, ExchangeListener &Listener)
    : Caller(shareObject(Caller)), Head(std::move(Head)), MaxBodyBytes(MaxBodyBytes),
      Connections(Connections), Forwarding(Forwarding), Time(Time), Listener(Listener),
      Number(Number), RequestId(std::move(RequestId)) {
  g_signal_connect(Caller, "wrote-chunk", G_CALLBACK(onChunkWritten), this);
  g_signal_connect(Caller, "finished", G_CALLBACK(onCallerFinished), this);
  g_signal_connect(Caller, "disconnected", G_CALLBACK(onCallerFinished), this);
  if (BodyFollows) {
    this->streamBody();
  }
  this->watchCaller();
}

ProxyExchange::~ProxyExchange() {
  g_signal_handlers_disconnect_by_data(this->Caller.get(), this);
  g_clear_handle_id(&this->DeadlineTimer, g_source_remove);
}

void ProxyExchange::streamBody() {
  this->Body =
      std::make_unique<CallerBody>(this->Caller.get(), this->MaxBodyBytes,
                                   [this](CallerBody::Problem What) { this->onBodyProblem(What); });
  g_signal_connect(this->Caller.get(), "got-body", G_CALLBACK(onBodyRead), this);
}

void ProxyExchange::startAttempt(const StartAttempt &Attempt) {
  this->Forwarded = false;
  this->startCall(Attempt.Destination, Attempt.Deadline, {});
}

void ProxyExchange::startForward(const StartForward &Forward) {
  this->Forwarded = true;
  this->startCall(
      Forward.Destination, Forward.Deadline,
      {{ForwardHeaders::MarkName, ForwardHeaders::formatMark(Forward.Mark)},
       {ForwardHeaders::SealName, this->Forwarding.formatSeal(Forward.Mark, this->Head)}});
}

void ProxyExchange::startCall(const Endpoint &Destination, TimePoint Deadline,
                              std::vector<HeaderField> Added) {
  this->Started = this->Time.now();
  this->FirstByte = Duration::zero();
  this->DeadlinePassed = false;
  this->PeerOutcome.reset();
  this->Kept.clear();
  this->Answer = AnswerHead();
  const auto Left = std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::milliseconds>(Deadline - this->Started).count());
  Added.emplace_back("Deadline-Ms", std::to_string(Left));
  Added.emplace_back("Request-Id", this->RequestId);
  TargetRequest Next;
  Next.Destination = Destination;
  Next.IsHead = this->Head.Method == "HEAD";
  Next.Head = formatRequestHead(this->Caller.get(), Added);
  this->setBody(Next);
  this->Call = std::make_unique<TargetCall>(this->Connections, std::move(Next),
                                            static_cast<TargetCallListener &>(*this));
  this->DeadlineTimer = g_timeout_add(static_cast<guint>(Left), onDeadline, this);
  this->Call->send();
}

void ProxyExchange::setBody(TargetRequest &Next) const {
  SoupMessageHeaders *From = soup_server_message_get_request_headers(this->Caller.get());
  if (this->Body) {
    Next.Rest = this->Body.get();
    Next.Chunked = soup_message_headers_get_encoding(From) == SOUP_ENCODING_CHUNKED;
    Next.Head +=
        Next.Chunked
            ? "Transfer-Encoding: chunked\r\n\r\n"
            : "Content-Length: " + std::to_string(soup_message_headers_get_content_length(From)) +
                  "\r\n\r\n";
    return;
  }
  SoupMessageBody *Whole = soup_server_message_get_request_body(this->Caller.get());
  if (Whole->length > 0 || soup_message_headers_get_one(From, "Content-Length")) {
    const GBytesPointer Bytes(soup_message_body_flatten(Whole));
    gsize Size = 0;
    const auto *Data = static_cast<const char *>(g_bytes_get_data(Bytes.get(), &Size));
    Next.Body.assign(Data ? Data : "", Size);
    Next.Head += "Content-Length: " + std::to_string(Size) + "\r\n";
  }
  Next.Head += "\r\n";
}

void ProxyExchange::refuse(const Refusal &Refused) {
  if (this->Done) {
    return;
  }
  this->Answered = true;
  if (this->Body && !this->Body->isBodyComplete()) {
    answerEarly(this->Caller.get(), Refused);
    return;
  }
  writeRefusal(this->Caller.get(), Refused);
  soup_server_message_unpause(this->Caller.get());
}

void ProxyExchange::onCallHead(const AnswerHead &Received) {
  this->Answer = Received;
  this->FirstByte = this->Time.now() - this->Started;
  if (this->Forwarded) {
    this->PeerOutcome = refusalOutcome(Received);
  } else if (!this->Listener.onAnswerHead(this->Number, Received.Status,
                                          !Received.field("Retry-After").empty())) {
    this->endAttempt(AttemptOutcome::Shed);
    return;
  }
  if (!this->keepsAnswer()) {
    this->AnswerStarted = true;
    this->Answered = true;
    this->setAnswerHead();
    this->setAnswerEncoding();
  }
  this->Call->readMore();
}

bool ProxyExchange::keepsAnswer() const {
  return this->Answer.Framing == BodyFraming::None ||
         (this->Answer.Framing == BodyFraming::Length && *this->Answer.Length <= MaxKeptAnswer);
}

void ProxyExchange::setAnswerHead() {
  soup_server_message_set_status(this->Caller.get(), static_cast<guint>(this->Answer.Status),
                                 this->Answer.Reason.c_str());
  copyAnswerHeaders(this->Answer, soup_server_message_get_response_headers(this->Caller.get()),
                    this->Forwarded);
}

void ProxyExchange::setAnswerEncoding() {
  SoupMessageHeaders *To = soup_server_message_get_response_headers(this->Caller.get());
  soup_message_body_set_accumulate(soup_server_message_get_response_body(this->Caller.get()),
                                   FALSE);
  if (this->Answer.Framing == BodyFraming::Length) {
    soup_message_headers_set_content_length(To, static_cast<goffset>(*this->Answer.Length));
    return;
  }
  // An answer that ends with the connection must not be given an end mark that the target did not
  // send.
  this->ResetOnFailure = this->Answer.Framing == BodyFraming::UntilClose ||
                         soup_server_message_get_http_version(this->Caller.get()) == SOUP_HTTP_1_0;
  soup_message_headers_set_encoding(To, this->ResetOnFailure ? SOUP_ENCODING_EOF
                                                             : SOUP_ENCODING_CHUNKED);
}

void ProxyExchange::onCallBytes(std::string Bytes, bool IsEnd) {
  if (!this->AnswerStarted) {
    this->Kept += Bytes;
    if (!IsEnd) {
      this->Call->readMore();
      return;
    }
    this->finishKeptAnswer();
    this->endAttempt(AttemptOutcome::Succeeded);
    return;
  }
  SoupMessageBody *To = soup_server_message_get_response_body(this->Caller.get());
  if (!Bytes.empty()) {
    // The next read waits for wrote-chunk, so that a slow caller slows the target instead of
    // filling memory.
    soup_message_body_append(To, SOUP_MEMORY_COPY, Bytes.data(), Bytes.size());
  }
  if (IsEnd) {
    soup_message_body_complete(To);
  }
  soup_server_message_unpause(this->Caller.get());
  if (IsEnd) {
    this->endAttempt(AttemptOutcome::Succeeded);
  }
}

void ProxyExchange::finishKeptAnswer() {
  this->Answered = true;
  this->setAnswerHead();
  SoupMessageBody *To = soup_server_message_get_response_body(this->Caller.get());
  if (!this->Kept.empty()) {
    soup_message_body_append(To, SOUP_MEMORY_COPY, this->Kept.data(), this->Kept.size());
  }
  soup_message_body_complete(To);
  // The length in an answer to HEAD is that of the body it stands for.
  if (this->Answer.Length && this->Answer.Status != SOUP_STATUS_NO_CONTENT) {
    soup_message_headers_set_content_length(
        soup_server_message_get_response_headers(this->Caller.get()),
        static_cast<goffset>(*this->Answer.Length));
  }
  soup_server_message_unpause(this->Caller.get());
}

void ProxyExchange::onCallFailed(const std::string &) {
  const bool Started = this->AnswerStarted;
  const bool Reset = this->ResetOnFailure;
  const GObjectPointer<SoupServerMessage> Held = shareObject(this->Caller.get());
  this->endAttempt(this->DeadlinePassed ? AttemptOutcome::DeadlineExceeded
                                        : AttemptOutcome::Failed);
  if (Started) {
    // A truncated answer must not look whole: the connection closes before the announced end. The
    // exchange ends first, because closing would end and destroy it.
    this->endExchange();
    closeWithoutAnswer(Held.get(), Reset);
  }
}

void ProxyExchange::onChunkWritten(SoupServerMessage *Message, gpointer Data) {
  auto &Self = *static_cast<ProxyExchange *>(Data);
  if (!Self.Call || !Self.AnswerStarted) {
    return;
  }
  soup_server_message_pause(Message);
  Self.Call->readMore();
}

void ProxyExchange::onBodyRead(SoupServerMessage *, gpointer Data) {
  static_cast<ProxyExchange *>(Data)->watchCaller();
}

void ProxyExchange::watchCaller() {
  // While the library reads the body it notices by itself that the caller left.
  if (this->Watch || (this->Body && !this->Body->isBodyComplete())) {
    return;
  }
  this->Watch =
      std::make_unique<CallerWatch>(soup_server_message_get_socket(this->Caller.get()), [this] {
        if (this->Call || !this->Answered) {
          const GObjectPointer<SoupServerMessage> Held = shareObject(this->Caller.get());
          this->endExchange();
          closeWithoutAnswer(Held.get(), true);
        }
      });
}

void ProxyExchange::onCallerFinished(SoupServerMessage *, gpointer Data) {
  static_cast<ProxyExchange *>(Data)->endExchange();
}

void ProxyExchange::endExchange() {
  if (std::exchange(this->Done, true)) {
    return;
  }
  if (this->Call) {
    this->endAttempt(AttemptOutcome::Cancelled);
  } else if (!this->Answered) {
    this->Listener.onCallerGone(this->Number);
  }
  this->Listener.onExchangeDone(this->Number);
}

void ProxyExchange::onBodyProblem(CallerBody::Problem What) {
  const bool TooLarge = What == CallerBody::Problem::TooLarge;
  Refusal Refused;
  Refused.Status = TooLarge ? SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE : SOUP_STATUS_BAD_REQUEST;
  Refused.Reason = TooLarge ? "the request body is too large" : "the request body is not complete";
  if (this->Call && this->Call->isSent()) {
    Refused.Outcome = RunOutcome::Unknown;
  }
  const GObjectPointer<SoupServerMessage> Held = shareObject(this->Caller.get());
  this->endExchange();
  answerEarly(Held.get(), Refused);
}

gboolean ProxyExchange::onDeadline(gpointer Data) {
  auto &Self = *static_cast<ProxyExchange *>(Data);
  Self.DeadlineTimer = 0;
  Self.DeadlinePassed = true;
  Self.onCallFailed("deadline");
  return G_SOURCE_REMOVE;
}

void ProxyExchange::endAttempt(AttemptOutcome Outcome) {
  const std::unique_ptr<TargetCall> Ended = std::move(this->Call);
  g_clear_handle_id(&this->DeadlineTimer, g_source_remove);
  AttemptReport Report;
  Report.Outcome = Outcome;
  Report.Sent = Ended->isSent();
  Report.AnswerStarted = this->AnswerStarted;
  Report.Status = Ended->status();
  Report.FirstByte = this->FirstByte;
  Report.Total = this->Time.now() - this->Started;
  Report.PeerOutcome = this->PeerOutcome;
  this->Listener.onAttemptEnd(this->Number, Report);
}

} // namespace anvilsaddle
