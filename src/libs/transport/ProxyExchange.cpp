#include "transport/ProxyExchange.h"

#include "transport/Clock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

constexpr gsize ReadSize = 65536;

/// Headers that belong to one connection and are not passed on (RFC 9110, 7.6.1).
constexpr std::array<std::string_view, 9> HopHeaders = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "upgrade",    "transfer-encoding",  "content-length"};

bool isHopHeader(std::string_view Name) {
  return std::ranges::any_of(HopHeaders, [Name](std::string_view Hop) {
    return Name.size() == Hop.size() &&
           g_ascii_strncasecmp(Name.data(), Hop.data(), Hop.size()) == 0;
  });
}

void copyHeaders(SoupMessageHeaders *From, SoupMessageHeaders *To, std::string_view Without) {
  SoupMessageHeadersIter Next;
  soup_message_headers_iter_init(&Next, From);
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Next, &Name, &Value)) {
    if (!isHopHeader(Name) && g_ascii_strcasecmp(Name, Without.data()) != 0) {
      soup_message_headers_append(To, Name, Value);
    }
  }
}

} // namespace

/// State of one attempt. Asynchronous calls hold a reference, so that it outlives an exchange whose
/// caller left.
struct ProxyExchange::Attempt {
  ProxyExchange *Exchange = nullptr;
  GObjectPointer<SoupMessage> Message;
  GObjectPointer<GCancellable> Cancel{g_cancellable_new()};
  GObjectPointer<GInputStream> Body;
  guint DeadlineTimer = 0;
  TimePoint Started;
  Duration FirstByte{0};
  bool DeadlinePassed = false;
  bool AnswerStarted = false;
};

namespace {
template <typename T> std::shared_ptr<T> *newReference(const std::shared_ptr<T> &Value) {
  return new std::shared_ptr<T>(Value);
}
} // namespace

ProxyExchange::ProxyExchange(SoupServerMessage *Caller, SoupSession *Session, const Clock &Time,
                             ExchangeListener &Listener)
    : Caller(shareObject(Caller)), Session(Session), Time(Time), Listener(Listener) {
  g_signal_connect(Caller, "wrote-chunk", G_CALLBACK(onChunkWritten), this);
  g_signal_connect(Caller, "finished", G_CALLBACK(onCallerFinished), this);
}

ProxyExchange::~ProxyExchange() {
  g_signal_handlers_disconnect_by_data(this->Caller.get(), this);
  if (this->Current) {
    this->Current->Exchange = nullptr;
    g_cancellable_cancel(this->Current->Cancel.get());
    g_clear_handle_id(&this->Current->DeadlineTimer, g_source_remove);
  }
}

void ProxyExchange::startAttempt(const StartAttempt &Attempt) {
  GUri *Original = soup_server_message_get_uri(this->Caller.get());
  GUri *Destination = g_uri_build(G_URI_FLAGS_ENCODED, "http", nullptr,
                                  Attempt.Destination.Address.c_str(), Attempt.Destination.Port,
                                  g_uri_get_path(Original), g_uri_get_query(Original), nullptr);
  auto Next = std::make_shared<ProxyExchange::Attempt>();
  Next->Exchange = this;
  Next->Message.reset(
      soup_message_new_from_uri(soup_server_message_get_method(this->Caller.get()), Destination));
  g_uri_unref(Destination);
  Next->Started = this->Time.now();
  this->Current = Next;

  SoupMessage *Message = Next->Message.get();
  soup_message_add_flags(Message, SOUP_MESSAGE_NO_REDIRECT);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  copyHeaders(soup_server_message_get_request_headers(this->Caller.get()), Headers,
              "authorization");
  const Duration Left = Attempt.Deadline - Next->Started;
  const auto LeftMilliseconds = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(Left).count());
  soup_message_headers_replace(Headers, "Deadline-Ms", std::to_string(LeftMilliseconds).c_str());
  soup_message_headers_replace(Headers, "Request-Id", std::to_string(Attempt.Request).c_str());
  SoupMessageBody *Body = soup_server_message_get_request_body(this->Caller.get());
  if (Body->length > 0) {
    GBytesPointer Bytes(soup_message_body_flatten(Body));
    soup_message_set_request_body_from_bytes(Message, nullptr, Bytes.get());
  }
  Next->DeadlineTimer = g_timeout_add(static_cast<guint>(LeftMilliseconds), onDeadline, Next.get());
  soup_session_send_async(this->Session, Message, G_PRIORITY_DEFAULT, Next->Cancel.get(), onSent,
                          newReference(Next));
}

void ProxyExchange::refuse(const Refusal &Answer) {
  if (this->CallerGone) {
    return;
  }
  this->Answered = true;
  writeRefusal(this->Caller.get(), Answer);
  soup_server_message_unpause(this->Caller.get());
}

void ProxyExchange::onSent(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<std::shared_ptr<Attempt>> Reference(
      static_cast<std::shared_ptr<Attempt> *>(Data));
  Attempt &Self = **Reference;
  GError *Error = nullptr;
  Self.Body.reset(soup_session_send_finish(SOUP_SESSION(Source), Result, &Error));
  const GErrorPointer Failure(Error);
  if (!Self.Exchange) {
    return;
  }
  ProxyExchange &Exchange = *Self.Exchange;
  if (!Self.Body) {
    Exchange.endAttempt(Self.DeadlinePassed ? AttemptOutcome::DeadlineExceeded
                                            : AttemptOutcome::Failed);
    return;
  }
  Self.FirstByte = Exchange.Time.now() - Self.Started;
  const int Status = static_cast<int>(soup_message_get_status(Self.Message.get()));
  const bool HasRetryAfter = soup_message_headers_get_one(
      soup_message_get_response_headers(Self.Message.get()), "Retry-After");
  if (!Exchange.Listener.onAnswerHead(Exchange.Number, Status, HasRetryAfter)) {
    g_cancellable_cancel(Self.Cancel.get());
    Exchange.endAttempt(AttemptOutcome::Shed);
    return;
  }
  Exchange.relayHead();
  Exchange.readMore();
}

void ProxyExchange::relayHead() {
  Attempt &Self = *this->Current;
  Self.AnswerStarted = true;
  this->Answered = true;
  SoupMessageHeaders *From = soup_message_get_response_headers(Self.Message.get());
  SoupMessageHeaders *To = soup_server_message_get_response_headers(this->Caller.get());
  soup_server_message_set_status(this->Caller.get(), soup_message_get_status(Self.Message.get()),
                                 soup_message_get_reason_phrase(Self.Message.get()));
  copyHeaders(From, To, "");
  if (soup_message_headers_get_encoding(From) == SOUP_ENCODING_CONTENT_LENGTH) {
    soup_message_headers_set_content_length(To, soup_message_headers_get_content_length(From));
  } else {
    soup_message_headers_set_encoding(To, SOUP_ENCODING_CHUNKED);
  }
  soup_message_body_set_accumulate(soup_server_message_get_response_body(this->Caller.get()),
                                   FALSE);
}

void ProxyExchange::readMore() {
  g_input_stream_read_bytes_async(this->Current->Body.get(), ReadSize, G_PRIORITY_DEFAULT,
                                  this->Current->Cancel.get(), onRead, newReference(this->Current));
}

void ProxyExchange::onRead(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<std::shared_ptr<Attempt>> Reference(
      static_cast<std::shared_ptr<Attempt> *>(Data));
  Attempt &Self = **Reference;
  GError *Error = nullptr;
  const GBytesPointer Bytes(
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(Source), Result, &Error));
  const GErrorPointer Failure(Error);
  if (!Self.Exchange) {
    return;
  }
  ProxyExchange &Exchange = *Self.Exchange;
  if (!Bytes) {
    Exchange.abortAnswer();
    Exchange.endAttempt(Self.DeadlinePassed ? AttemptOutcome::DeadlineExceeded
                                            : AttemptOutcome::Failed);
    return;
  }
  SoupMessageBody *Body = soup_server_message_get_response_body(Exchange.Caller.get());
  if (g_bytes_get_size(Bytes.get()) == 0) {
    soup_message_body_complete(Body);
    soup_server_message_unpause(Exchange.Caller.get());
    Exchange.endAttempt(AttemptOutcome::Succeeded);
    return;
  }
  // The next read waits for wrote-chunk, so that a slow caller slows the target instead of filling
  // memory.
  soup_message_body_append_bytes(Body, Bytes.get());
  soup_server_message_unpause(Exchange.Caller.get());
}

void ProxyExchange::onChunkWritten(SoupServerMessage *Message, gpointer Data) {
  auto &Self = *static_cast<ProxyExchange *>(Data);
  if (!Self.Current || !Self.Current->AnswerStarted) {
    return;
  }
  soup_server_message_pause(Message);
  Self.readMore();
}

void ProxyExchange::onCallerFinished(SoupServerMessage *, gpointer Data) {
  auto &Self = *static_cast<ProxyExchange *>(Data);
  Self.CallerGone = true;
  if (Self.Current) {
    Self.endAttempt(AttemptOutcome::Cancelled);
  } else if (!Self.Answered) {
    Self.Listener.onCallerGone(Self.Number);
  }
  Self.Listener.onExchangeDone(Self.Number);
}

gboolean ProxyExchange::onDeadline(gpointer Data) {
  auto &Self = *static_cast<Attempt *>(Data);
  Self.DeadlineTimer = 0;
  Self.DeadlinePassed = true;
  g_cancellable_cancel(Self.Cancel.get());
  return G_SOURCE_REMOVE;
}

void ProxyExchange::endAttempt(AttemptOutcome Outcome) {
  const std::shared_ptr<Attempt> Ended = std::move(this->Current);
  this->Current.reset();
  Ended->Exchange = nullptr;
  g_clear_handle_id(&Ended->DeadlineTimer, g_source_remove);
  if (Outcome == AttemptOutcome::Cancelled) {
    g_cancellable_cancel(Ended->Cancel.get());
  }
  AttemptReport Report;
  Report.Outcome = Outcome;
  Report.AnswerStarted = Ended->AnswerStarted;
  Report.Status = static_cast<int>(soup_message_get_status(Ended->Message.get()));
  Report.FirstByte = Ended->FirstByte;
  Report.Total = this->Time.now() - Ended->Started;
  this->Listener.onAttemptEnd(this->Number, Report);
}

void ProxyExchange::abortAnswer() {
  // A truncated answer must not look whole: the connection closes before the announced end.
  GObjectPointer<GIOStream> Connection(soup_server_message_steal_connection(this->Caller.get()));
  g_io_stream_close(Connection.get(), nullptr, nullptr);
}

void writeRefusal(SoupServerMessage *Caller, const Refusal &Answer) {
  nlohmann::json Body = {{"outcome", Answer.Outcome == RunOutcome::NotRun ? "not-run" : "unknown"},
                         {"reason", Answer.Reason}};
  SoupMessageHeaders *Headers = soup_server_message_get_response_headers(Caller);
  soup_message_headers_replace(Headers, "Anvilsaddle-Outcome",
                               Answer.Outcome == RunOutcome::NotRun ? "not-run" : "unknown");
  if (!Answer.Entries.empty()) {
    std::string Entries;
    for (const std::string &Entry : Answer.Entries) {
      Entries += (Entries.empty() ? "" : ", ") + Entry;
    }
    soup_message_headers_replace(Headers, "Anvilsaddle-Entries", Entries.c_str());
    Body["entries"] = Answer.Entries;
  }
  if (!Answer.Ticket.empty()) {
    soup_message_headers_replace(Headers, "Anvilsaddle-Ticket", Answer.Ticket.c_str());
    Body["ticket"] = Answer.Ticket;
  }
  if (Answer.RetryAfter > Duration::zero()) {
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Answer.RetryAfter).count();
    soup_message_headers_replace(Headers, "Retry-After", std::to_string(Seconds).c_str());
  }
  const std::string Text = Body.dump() + "\n";
  soup_server_message_set_status(Caller, static_cast<guint>(Answer.Status), nullptr);
  soup_server_message_set_response(Caller, "application/json", SOUP_MEMORY_COPY, Text.data(),
                                   Text.size());
}

} // namespace anvilsaddle
