#include "loadtool/HttpCaller.h"

#include <memory>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr int MaxConnections = 2000;
/// Longer than the longest deadline in the scenarios, so that only a lost answer reaches it.
constexpr guint TimeoutSeconds = 30;

/// libsoup looks at every idle connection for each request; a burst that leaves hundreds of them
/// would otherwise take the tool's whole processor time.
constexpr guint IdleSeconds = 1;

struct OpenCall {
  GObjectPointer<SoupMessage> Message;
  HttpCaller::Callback Done;
};

std::string header(SoupMessage *Message, const char *Name) {
  const char *Value =
      soup_message_headers_get_one(soup_message_get_response_headers(Message), Name);
  return Value ? Value : "";
}

void onAnswer(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<OpenCall> Ended(static_cast<OpenCall *>(Data));
  GError *Error = nullptr;
  const GBytesPointer Body(soup_session_send_and_read_finish(SOUP_SESSION(Source), Result, &Error));
  const GErrorPointer Failure(Error);
  HttpAnswer Answer;
  if (Body) {
    SoupMessage *Message = Ended->Message.get();
    gsize Size = 0;
    const auto *Text = static_cast<const char *>(g_bytes_get_data(Body.get(), &Size));
    Answer.Status = soup_message_get_status(Message);
    Answer.Body.assign(Text ? Text : "", Size);
    Answer.Outcome = header(Message, "Anvilsaddle-Outcome");
    Answer.Entries = header(Message, "Anvilsaddle-Entries");
    Answer.Ticket = header(Message, "Anvilsaddle-Ticket");
    Answer.RetryAfter = static_cast<unsigned>(
        g_ascii_strtoull(header(Message, "Retry-After").c_str(), nullptr, 10));
  }
  Ended->Done(Answer);
}

} // namespace

HttpCaller::HttpCaller()
    : Session(soup_session_new_with_options("max-conns", MaxConnections, "max-conns-per-host",
                                            MaxConnections, "timeout", TimeoutSeconds,
                                            "idle-timeout", IdleSeconds, nullptr)) {}

void HttpCaller::send(const HttpCall &Call, Callback Done) {
  auto Next = std::make_unique<OpenCall>();
  Next->Message.reset(soup_message_new(Call.Method.c_str(), Call.Url.c_str()));
  Next->Done = std::move(Done);
  SoupMessage *Message = Next->Message.get();
  if (!Message) {
    Next->Done({});
    return;
  }
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  if (!Call.Credential.empty()) {
    soup_message_headers_append(Headers, "Authorization", ("Bearer " + Call.Credential).c_str());
  }
  if (!Call.IdempotencyKey.empty()) {
    soup_message_headers_append(Headers, "Idempotency-Key", Call.IdempotencyKey.c_str());
  }
  if (Call.BodyBytes > 0) {
    const std::string Text(Call.BodyBytes, 'x');
    const GBytesPointer Body(g_bytes_new(Text.data(), Text.size()));
    soup_message_set_request_body_from_bytes(Message, "application/octet-stream", Body.get());
  }
  soup_session_send_and_read_async(this->Session.get(), Message, G_PRIORITY_DEFAULT, nullptr,
                                   onAnswer, Next.release());
}

HttpAnswer HttpCaller::sendAndWait(const HttpCall &Call) {
  HttpAnswer Result;
  bool Ended = false;
  this->send(Call, [&](const HttpAnswer &Answer) {
    Result = Answer;
    Ended = true;
  });
  while (!Ended) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return Result;
}

} // namespace anvilsaddle
