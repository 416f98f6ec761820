#include "transport/RequestServer.h"

#include "protocol/ForwardHeaders.h"
#include "transport/Clock.h"
#include "transport/EarlyAnswer.h"
#include "transport/ProxyHeaders.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilsaddle {

namespace {

/// Longer bodies are not kept for a retry.
constexpr goffset MaxKeptBody = 65536;
/// GLib's default of 10 makes bursts of new connections wait 1 s for a repeated SYN.
constexpr int ListenBacklog = 1024;

bool isDigits(std::string_view Text) {
  return !Text.empty() &&
         std::ranges::all_of(Text, [](char Each) { return g_ascii_isdigit(Each); });
}

/// Two readings of the length of a body let one request pass for two (request smuggling).
std::optional<Refusal> checkFraming(SoupServerMessage *Message) {
  SoupMessageHeaders *Headers = soup_server_message_get_request_headers(Message);
  const char *Length = soup_message_headers_get_list(Headers, "Content-Length");
  const char *Encoding = soup_message_headers_get_list(Headers, "Transfer-Encoding");
  if (Length && Encoding) {
    return makeRefusal(400, RunOutcome::NotRun,
                       "both Content-Length and Transfer-Encoding are present");
  }
  constexpr std::size_t MaxLengthDigits = 18;
  if (Length && (!isDigits(Length) || std::string_view(Length).size() > MaxLengthDigits)) {
    return makeRefusal(400, RunOutcome::NotRun, "the Content-Length is not one number");
  }
  // libsoup takes a damaged chunk for the end of the body. A request that runs only once must not
  // run on a part of its body.
  if (Encoding && soup_message_headers_get_one(Headers, "Idempotency-Key")) {
    return makeRefusal(411, RunOutcome::Unknown, "a request with a key needs a Content-Length");
  }
  if (Encoding && g_ascii_strcasecmp(Encoding, "chunked") != 0) {
    return makeRefusal(501, RunOutcome::NotRun, "the only Transfer-Encoding accepted is chunked");
  }
  if (Encoding && soup_server_message_get_http_version(Message) == SOUP_HTTP_1_0) {
    return makeRefusal(400, RunOutcome::NotRun, "HTTP/1.0 has no Transfer-Encoding");
  }
  return std::nullopt;
}

/// A target may resolve dot segments, and would then serve a path of another route.
bool hasDotSegment(std::string_view Path) {
  while (!Path.empty()) {
    const std::size_t End = Path.find('/');
    const std::string_view Segment = Path.substr(0, End);
    if (Segment == "." || Segment == "..") {
      return true;
    }
    Path = End == std::string_view::npos ? std::string_view() : Path.substr(End + 1);
  }
  return false;
}

/// The query goes into a request line as it is.
bool isPrintable(const char *Text) {
  return !Text || std::ranges::all_of(std::string_view(Text), [](char Each) {
    return g_ascii_isgraph(Each) || static_cast<unsigned char>(Each) >= 0x80;
  });
}

/// True if a body follows the headers, or something that may be taken for one.
bool hasBody(SoupServerMessage *Message) {
  SoupMessageHeaders *Headers = soup_server_message_get_request_headers(Message);
  const char *Length = soup_message_headers_get_list(Headers, "Content-Length");
  return soup_message_headers_get_list(Headers, "Transfer-Encoding") ||
         (Length && std::string_view(Length) != "0");
}

} // namespace

RequestServer::RequestServer(RequestServerLimits Limits, const ForwardHeaders *Peers,
                             const Clock &Time, RequestHandler &Handler)
    : Limits(Limits), Peers(Peers), Time(Time), Handler(Handler),
      Server(soup_server_new("server-header", "anvilsaddle ", nullptr)) {
  g_signal_connect(this->Server.get(), "request-started", G_CALLBACK(onStarted), this);
  soup_server_add_early_handler(this->Server.get(), nullptr, onHeaders, this, nullptr);
  soup_server_add_handler(this->Server.get(), nullptr, onBody, this, nullptr);
  this->SweepTimer = g_timeout_add(
      static_cast<guint>(
          std::chrono::duration_cast<std::chrono::milliseconds>(Limits.Sweep).count()),
      onSweep, this);
}

RequestServer::~RequestServer() {
  g_clear_handle_id(&this->SweepTimer, g_source_remove);
  g_signal_handlers_disconnect_by_data(this->Server.get(), this);
  for (const auto &[Message, Each] : this->Requests) {
    g_signal_handlers_disconnect_by_data(Message, this);
    g_object_weak_unref(G_OBJECT(Message), onDestroyed, this);
  }
  soup_server_disconnect(this->Server.get());
}

std::string RequestServer::listen(const std::string &Address, std::uint16_t Port) {
  const GObjectPointer<GSocketAddress> Place(
      g_inet_socket_address_new_from_string(Address.c_str(), Port));
  GError *Error = nullptr;
  const GObjectPointer<GSocket> Socket(g_socket_new(g_socket_address_get_family(Place.get()),
                                                    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                                    &Error));
  if (Socket) {
    g_socket_set_listen_backlog(Socket.get(), ListenBacklog);
  }
  if (Socket && g_socket_bind(Socket.get(), Place.get(), TRUE, &Error) &&
      g_socket_listen(Socket.get(), &Error) &&
      soup_server_listen_socket(this->Server.get(), Socket.get(),
                                static_cast<SoupServerListenOptions>(0), &Error)) {
    return {};
  }
  const GErrorPointer Failure(Error);
  return "cannot listen on " + Address + ":" + std::to_string(Port) + ": " + Failure->message;
}

void RequestServer::closeConnections() {
  this->Closing = true;
  for (const auto &[Message, Each] : this->Requests) {
    soup_message_headers_replace(soup_server_message_get_response_headers(Message), "Connection",
                                 "close");
  }
}

void RequestServer::onStarted(SoupServer *, SoupServerMessage *Message, gpointer Data) {
  auto &Self = *static_cast<RequestServer *>(Data);
  Self.Requests[Message].Expiry = Self.Time.now() + Self.Limits.HeadWait;
  g_signal_connect(Message, "finished", G_CALLBACK(onFinished), &Self);
  // The library drops a message without "finished" if its connection ends before a request.
  g_object_weak_ref(G_OBJECT(Message), onDestroyed, &Self);
}

void RequestServer::onFinished(SoupServerMessage *Message, gpointer Data) {
  auto &Self = *static_cast<RequestServer *>(Data);
  g_signal_handlers_disconnect_by_data(Message, Data);
  g_object_weak_unref(G_OBJECT(Message), onDestroyed, Data);
  Self.Requests.erase(Message);
}

void RequestServer::onDestroyed(gpointer Data, GObject *Message) {
  auto &Self = *static_cast<RequestServer *>(Data);
  // Only the address is used; the object is gone.
  Self.Requests.erase(reinterpret_cast<SoupServerMessage *>(Message));
}

std::optional<Refusal> RequestServer::readHead(SoupServerMessage *Message,
                                               RequestHead &Head) const {
  SoupMessageHeaders *Headers = soup_server_message_get_request_headers(Message);
  GUri *Uri = soup_server_message_get_uri(Message);
  Head.Method = soup_server_message_get_method(Message);
  // The library has decoded the path; the query is as the caller sent it.
  Head.Path = g_uri_get_path(Uri);
  if (!Head.Path.starts_with('/') || hasDotSegment(Head.Path) ||
      !isPrintable(g_uri_get_query(Uri)) || Head.Method == "CONNECT") {
    return makeRefusal(400, RunOutcome::NotRun, "the request target is not a plain path");
  }
  Head.Authorization = headerValue(Headers, "Authorization");
  Head.IdempotencyKey = headerValue(Headers, "Idempotency-Key");
  const std::string Patience(headerValue(Headers, "Deadline-Ms"));
  // Longer patience than a day is bounded by the route anyway and must not overflow.
  constexpr gint64 MaxPatience = 86'400'000;
  const gint64 Milliseconds = g_ascii_strtoll(Patience.c_str(), nullptr, 10);
  if (Milliseconds > 0) {
    Head.Patience = std::chrono::milliseconds(std::min(Milliseconds, MaxPatience));
  }
  if (auto Refused = checkFraming(Message)) {
    return Refused;
  }
  Head.Replayable = soup_message_headers_get_encoding(Headers) != SOUP_ENCODING_CHUNKED &&
                    soup_message_headers_get_content_length(Headers) <= MaxKeptBody;
  if (this->Peers) {
    Head.Forwarded = this->Peers->parse(headerValue(Headers, ForwardHeaders::MarkName),
                                        headerValue(Headers, ForwardHeaders::SealName), Head);
    if (!Head.Forwarded) {
      return makeRefusal(401, RunOutcome::NotRun,
                         "the request does not come from an entry of this fleet");
    }
  }
  if (soup_message_headers_get_content_length(Headers) > this->Limits.MaxBodyBytes) {
    return makeRefusal(413, RunOutcome::NotRun, "the request body is too large");
  }
  return std::nullopt;
}

void RequestServer::refuse(SoupServerMessage *Message, const Refusal &Answer) const {
  if (hasBody(Message)) {
    answerEarly(Message, Answer);
    return;
  }
  writeRefusal(Message, Answer);
}

RequestServer::Active &RequestServer::beginRequest(SoupServerMessage *Message) {
  Active &Request = this->Requests[Message];
  Request.Expiry = this->Time.now() + this->Limits.BodyWait;
  if (this->Closing) {
    soup_message_headers_replace(soup_server_message_get_response_headers(Message), "Connection",
                                 "close");
  }
  return Request;
}

void RequestServer::addHandler(const char *Path, SoupServerCallback Callback, gpointer Data) {
  soup_server_add_early_handler(this->Server.get(), Path, onOwnHeaders, this, nullptr);
  soup_server_add_handler(this->Server.get(), Path, Callback, Data, nullptr);
}

void RequestServer::onOwnHeaders(SoupServer *, SoupServerMessage *Message, const char *,
                                 GHashTable *, gpointer Data) {
  auto &Self = *static_cast<RequestServer *>(Data);
  Self.beginRequest(Message);
  std::optional<Refusal> Refused = checkFraming(Message);
  if (!Refused && hasBody(Message)) {
    Refused = makeRefusal(413, RunOutcome::NotRun, "this path takes no request body");
  }
  if (Refused) {
    Self.refuse(Message, *Refused);
  }
}

void RequestServer::onHeaders(SoupServer *, SoupServerMessage *Message, const char *, GHashTable *,
                              gpointer Data) {
  auto &Self = *static_cast<RequestServer *>(Data);
  Active &Request = Self.beginRequest(Message);
  RequestHead Head;
  std::optional<Refusal> Refused = Self.readHead(Message, Head);
  // Without a body, onRequest() follows at once and checks the same.
  if (!Refused && hasBody(Message)) {
    Refused = Self.Handler.checkHead(Head);
  }
  if (!Refused && !Head.Replayable) {
    Request.Streamed = true;
    if (soup_message_headers_get_encoding(soup_server_message_get_request_headers(Message)) ==
        SOUP_ENCODING_CHUNKED) {
      // The library takes a malformed chunk size for the end of the body; what follows must not be
      // taken for a request.
      soup_message_headers_replace(soup_server_message_get_response_headers(Message), "Connection",
                                   "close");
    }
    // The deadline of the request bounds the wait for the rest of the body.
    Request.Expiry.reset();
    Refused = Self.Handler.onRequest(Message, std::move(Head), true);
  } else {
    Request.Head = std::move(Head);
  }
  if (Refused) {
    Request.Refused = true;
    Self.refuse(Message, *Refused);
  }
}

void RequestServer::onBody(SoupServer *, SoupServerMessage *Message, const char *, GHashTable *,
                           gpointer Data) {
  auto &Self = *static_cast<RequestServer *>(Data);
  Active &Request = Self.Requests[Message];
  Request.Expiry.reset();
  if (Request.Refused) {
    return;
  }
  // The answer comes later.
  soup_server_message_pause(Message);
  if (Request.Streamed) {
    return;
  }
  if (const auto Refused = Self.Handler.onRequest(Message, std::move(*Request.Head), false)) {
    writeRefusal(Message, *Refused);
    soup_server_message_unpause(Message);
  }
}

gboolean RequestServer::onSweep(gpointer Data) {
  auto &Self = *static_cast<RequestServer *>(Data);
  const TimePoint Now = Self.Time.now();
  std::vector<GObjectPointer<SoupServerMessage>> Expired;
  for (const auto &[Message, Each] : Self.Requests) {
    if (Each.Expiry && *Each.Expiry <= Now) {
      Expired.push_back(shareObject(Message));
    }
  }
  for (const auto &Message : Expired) {
    closeWithoutAnswer(Message.get(), false);
  }
  return G_SOURCE_CONTINUE;
}

} // namespace anvilsaddle
