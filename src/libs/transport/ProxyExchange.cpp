#include "transport/ProxyExchange.h"

#include "protocol/ForwardHeaders.h"
#include "transport/AnswerHeaders.h"
#include "transport/Clock.h"
#include "transport/EarlyAnswer.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace anvilsaddle {

namespace {
/// Answers up to this length are passed on once they are complete: a target that fails within one
/// then leads to a clear refusal instead of a closed connection, and fewer writes are needed.
constexpr goffset MaxKeptAnswer = 65536;
} // namespace

ProxyExchange::ProxyExchange(SoupServerMessage *Caller, RequestHead Head, std::int64_t MaxBodyBytes,
                             SoupSession *Session, const ForwardHeaders &Forwarding,
                             const Clock &Time, ExchangeListener &Listener)
    : Caller(shareObject(Caller)), Head(std::move(Head)), MaxBodyBytes(MaxBodyBytes),
      Session(Session), Forwarding(Forwarding), Time(Time), Listener(Listener) {
  g_signal_connect(Caller, "wrote-chunk", G_CALLBACK(onChunkWritten), this);
  g_signal_connect(Caller, "finished", G_CALLBACK(onCallerFinished), this);
}

ProxyExchange::~ProxyExchange() {
  g_signal_handlers_disconnect_by_data(this->Caller.get(), this);
  g_clear_handle_id(&this->DeadlineTimer, g_source_remove);
}

void ProxyExchange::streamBody() {
  this->Body = std::make_unique<CallerBody>(this->Caller.get(), this->MaxBodyBytes,
                                            [this] { this->onBodyTooLarge(); });
  g_signal_connect(this->Caller.get(), "got-body", G_CALLBACK(onBodyRead), this);
}

void ProxyExchange::startAttempt(const StartAttempt &Attempt) {
  GObjectPointer<SoupMessage> Message = this->newMessage(Attempt.Destination, Attempt.Deadline);
  this->startCall(std::move(Message), Attempt.Deadline, false);
}

void ProxyExchange::startForward(const StartForward &Forward) {
  GObjectPointer<SoupMessage> Message = this->newMessage(Forward.Destination, Forward.Deadline);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message.get());
  soup_message_headers_replace(Headers, ForwardHeaders::MarkName,
                               ForwardHeaders::formatMark(Forward.Mark).c_str());
  soup_message_headers_replace(Headers, ForwardHeaders::SealName,
                               this->Forwarding.formatSeal(Forward.Mark, this->Head).c_str());
  this->startCall(std::move(Message), Forward.Deadline, true);
}

GObjectPointer<SoupMessage> ProxyExchange::newMessage(const Endpoint &Destination,
                                                      TimePoint Deadline) {
  GUri *Original = soup_server_message_get_uri(this->Caller.get());
  GUri *Uri =
      g_uri_build(G_URI_FLAGS_ENCODED, "http", nullptr, Destination.Address.c_str(),
                  Destination.Port, g_uri_get_path(Original), g_uri_get_query(Original), nullptr);
  GObjectPointer<SoupMessage> Message(
      soup_message_new_from_uri(soup_server_message_get_method(this->Caller.get()), Uri));
  g_uri_unref(Uri);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message.get());
  copyEndToEndHeaders(soup_server_message_get_request_headers(this->Caller.get()), Headers, false);
  soup_message_headers_remove(Headers, "Authorization");
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - this->Time.now());
  soup_message_headers_replace(
      Headers, "Deadline-Ms",
      std::to_string(std::max(Left, std::chrono::milliseconds(1)).count()).c_str());
  soup_message_headers_replace(Headers, "Request-Id", std::to_string(this->Number).c_str());
  return Message;
}

bool ProxyExchange::setBody(SoupMessage *Message) {
  SoupMessageHeaders *From = soup_server_message_get_request_headers(this->Caller.get());
  if (this->Body) {
    if (!this->Body->isWhole()) {
      return false;
    }
    const bool HasLength = soup_message_headers_get_encoding(From) == SOUP_ENCODING_CONTENT_LENGTH;
    const GObjectPointer<GInputStream> Stream = this->Body->openStream();
    soup_message_set_request_body(Message, nullptr, Stream.get(),
                                  HasLength ? soup_message_headers_get_content_length(From) : -1);
    return true;
  }
  SoupMessageBody *Whole = soup_server_message_get_request_body(this->Caller.get());
  if (Whole->length > 0) {
    const GBytesPointer Bytes(soup_message_body_flatten(Whole));
    soup_message_set_request_body_from_bytes(Message, nullptr, Bytes.get());
  } else if (soup_message_headers_get_one(From, "Content-Length")) {
    soup_message_headers_set_content_length(soup_message_get_request_headers(Message), 0);
  }
  return true;
}

void ProxyExchange::startCall(GObjectPointer<SoupMessage> Message, TimePoint Deadline,
                              bool Forward) {
  const bool HasBody = this->setBody(Message.get());
  this->Started = this->Time.now();
  this->FirstByte = Duration::zero();
  this->DeadlinePassed = false;
  this->Forwarded = Forward;
  this->PeerOutcome.reset();
  this->Kept.clear();
  this->Call = std::make_unique<TargetCall>(this->Session, std::move(Message),
                                            static_cast<TargetCallListener &>(*this));
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(Deadline - this->Started).count();
  this->DeadlineTimer =
      g_timeout_add(static_cast<guint>(std::max<std::int64_t>(1, Left)), onDeadline, this);
  this->watchCaller();
  this->Call->send();
  if (!HasBody) {
    // The stream was used up by an earlier attempt. Cancelled before it is sent.
    this->Call->cancel();
  }
}

void ProxyExchange::refuse(const Refusal &Answer) {
  if (this->Done) {
    return;
  }
  this->Answered = true;
  if (this->Body && !this->Body->isComplete()) {
    answerEarly(this->Caller.get(), Answer);
    return;
  }
  writeRefusal(this->Caller.get(), Answer);
  soup_server_message_unpause(this->Caller.get());
}

void ProxyExchange::onCallHead() {
  SoupMessage *Message = this->Call->message();
  SoupMessageHeaders *Headers = soup_message_get_response_headers(Message);
  this->FirstByte = this->Time.now() - this->Started;
  if (this->Forwarded) {
    this->PeerOutcome = refusalOutcome(Headers);
  } else if (!this->Listener.onAnswerHead(
                 this->Number, static_cast<int>(soup_message_get_status(Message)),
                 soup_message_headers_get_one(Headers, "Retry-After") != nullptr)) {
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
  SoupMessageHeaders *Headers = soup_message_get_response_headers(this->Call->message());
  const guint Status = soup_message_get_status(this->Call->message());
  const bool NoBody = Status == SOUP_STATUS_NO_CONTENT || Status == SOUP_STATUS_NOT_MODIFIED ||
                      this->Head.Method == "HEAD";
  return NoBody || (soup_message_headers_get_encoding(Headers) == SOUP_ENCODING_CONTENT_LENGTH &&
                    soup_message_headers_get_content_length(Headers) <= MaxKeptAnswer);
}

void ProxyExchange::setAnswerHead() {
  SoupMessage *Message = this->Call->message();
  soup_server_message_set_status(this->Caller.get(), soup_message_get_status(Message),
                                 soup_message_get_reason_phrase(Message));
  copyEndToEndHeaders(soup_message_get_response_headers(Message),
                      soup_server_message_get_response_headers(this->Caller.get()),
                      this->Forwarded);
}

void ProxyExchange::setAnswerEncoding() {
  SoupMessageHeaders *From = soup_message_get_response_headers(this->Call->message());
  SoupMessageHeaders *To = soup_server_message_get_response_headers(this->Caller.get());
  soup_message_body_set_accumulate(soup_server_message_get_response_body(this->Caller.get()),
                                   FALSE);
  if (soup_message_headers_get_encoding(From) == SOUP_ENCODING_CONTENT_LENGTH) {
    soup_message_headers_set_content_length(To, soup_message_headers_get_content_length(From));
    return;
  }
  // An answer that ends with the connection must not be given an end mark that the target did not
  // send.
  this->ResetOnFailure = soup_message_headers_get_encoding(From) != SOUP_ENCODING_CHUNKED ||
                         soup_server_message_get_http_version(this->Caller.get()) == SOUP_HTTP_1_0;
  soup_message_headers_set_encoding(To, this->ResetOnFailure ? SOUP_ENCODING_EOF
                                                             : SOUP_ENCODING_CHUNKED);
}

void ProxyExchange::onCallBytes(GBytes *Bytes) {
  SoupMessageBody *Answer = soup_server_message_get_response_body(this->Caller.get());
  gsize Size = 0;
  const auto *Data = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  if (this->AnswerStarted && Size > 0) {
    // The next read waits for wrote-chunk, so that a slow caller slows the target instead of
    // filling memory.
    soup_message_body_append_bytes(Answer, Bytes);
    soup_server_message_unpause(this->Caller.get());
    return;
  }
  if (Size > 0) {
    this->Kept.append(Data, Size);
    this->Call->readMore();
    return;
  }
  if (!this->AnswerStarted) {
    this->Answered = true;
    this->setAnswerHead();
    SoupMessageHeaders *From = soup_message_get_response_headers(this->Call->message());
    SoupMessageHeaders *To = soup_server_message_get_response_headers(this->Caller.get());
    if (!this->Kept.empty()) {
      soup_message_body_append(Answer, SOUP_MEMORY_COPY, this->Kept.data(), this->Kept.size());
    }
    // The length of an answer to HEAD is that of the body it stands for.
    const char *Length = soup_message_headers_get_one(From, "Content-Length");
    const guint Status = soup_message_get_status(this->Call->message());
    if (Length && Status != SOUP_STATUS_NO_CONTENT) {
      soup_message_headers_replace(To, "Content-Length", Length);
    }
  }
  soup_message_body_complete(Answer);
  soup_server_message_unpause(this->Caller.get());
  this->endAttempt(AttemptOutcome::Succeeded);
}

void ProxyExchange::onCallFailed(const std::string &) {
  if (this->AnswerStarted) {
    // A truncated answer must not look whole: the connection closes before the announced end.
    const GObjectPointer<SoupServerMessage> Held = shareObject(this->Caller.get());
    this->endAttempt(this->DeadlinePassed ? AttemptOutcome::DeadlineExceeded
                                          : AttemptOutcome::Failed);
    closeWithoutAnswer(Held.get(), this->ResetOnFailure);
    this->endExchange();
    return;
  }
  this->endAttempt(this->DeadlinePassed ? AttemptOutcome::DeadlineExceeded
                                        : AttemptOutcome::Failed);
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
  if (this->Watch || (this->Body && !this->Body->isComplete())) {
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

void ProxyExchange::onBodyTooLarge() {
  Refusal Answer;
  Answer.Status = SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
  Answer.Reason = "the request body is too large";
  const GObjectPointer<SoupServerMessage> Held = shareObject(this->Caller.get());
  if (this->Call && this->Call->isSent()) {
    Answer.Outcome = RunOutcome::Unknown;
  }
  this->endExchange();
  answerEarly(Held.get(), Answer);
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
  Report.Status = static_cast<int>(soup_message_get_status(Ended->message()));
  Report.FirstByte = this->FirstByte;
  Report.Total = this->Time.now() - this->Started;
  Report.PeerOutcome = this->PeerOutcome;
  this->Listener.onAttemptEnd(this->Number, Report);
}

} // namespace anvilsaddle
