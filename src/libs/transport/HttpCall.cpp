#include "transport/HttpCall.h"

#include "transport/ConnectionPool.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ReadBufferBytes = 65536;
/// Used if the server announces no timeout. Common servers close idle connections after 5 s
/// or more.
constexpr Duration DefaultIdleLifetime = 8s;
/// The server starts its idle timer earlier than this side does, so it may close the connection
/// this much before the announced timeout ends.
constexpr Duration IdleLifetimeMargin = 500ms;
/// Responses to other requests that are skipped on one connection before the call fails.
constexpr int MaxSkippedResponses = 4;
/// Parameter of the Keep-Alive header, in whole seconds: `timeout=N`.
constexpr std::string_view TimeoutParameter = "timeout=";

/// TCP keepalive: seconds without traffic before the first probe, seconds between probes, and the
/// number of unanswered probes that close the connection. Together they detect a dead peer after
/// three seconds.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveMaxProbes = 2;
/// TCP user timeout: sent data that stays unacknowledged for this long closes the connection.
constexpr int TcpUserTimeoutMilliseconds = 2500;

void enableDeadPeerDetection(GSocket *Socket) {
  g_socket_set_keepalive(Socket, TRUE);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveMaxProbes, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMilliseconds, nullptr);
}

} // namespace

HttpCall::HttpCall(ConnectionPool &Pool, OutgoingRequest Request, HttpCallListener &Listener)
    : Pool(Pool), Request(std::move(Request)), Listener(Listener),
      Parser(std::make_unique<ResponseParser>(this->Request.IsHead)) {}

void HttpCall::send() {
  this->Socket = this->Pool.takeIdle(this->Request.Destination, this->Request.MaxIdleTime);
  if (!this->Socket) {
    if (std::string Error = this->connect(); !Error.empty()) {
      this->failLater(std::move(Error));
      return;
    }
    this->startWatch();
    this->Watch->setConditions(G_IO_OUT);
    if (this->Request.ConnectTimeout > 0ms) {
      this->ConnectTimer.callAfter(this->Request.ConnectTimeout,
                                   [this] { this->fail("connect timeout"); });
    }
    return;
  }
  this->Reused = true;
  this->CurrentState = State::AwaitingHead;
  this->startWatch();
  this->write();
  this->updateWatch();
}

void HttpCall::startWatch() {
  this->Watch =
      std::make_unique<SocketWatch>(g_socket_get_fd(this->Socket.get()),
                                    [this](GIOCondition Condition) { this->onReady(Condition); });
}

std::string HttpCall::connect() {
  const GObjectPointer<GSocketAddress> Address(g_inet_socket_address_new_from_string(
      this->Request.Destination.Address.c_str(), this->Request.Destination.Port));
  if (!Address) {
    return "the address is not an IP address";
  }
  GError *Error = nullptr;
  this->Socket.reset(g_socket_new(g_socket_address_get_family(Address.get()), G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, &Error));
  if (this->Socket) {
    g_socket_set_blocking(this->Socket.get(), FALSE);
    g_socket_set_option(this->Socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    setReceiveBuffer(this->Socket.get(), ReceiveBuffer::Small);
    if (this->Request.DetectDeadPeer) {
      enableDeadPeerDetection(this->Socket.get());
    }
    g_socket_connect(this->Socket.get(), Address.get(), nullptr, &Error);
  }
  const GErrorPointer Failure(Error);
  if (Failure && !g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_PENDING)) {
    return Failure->message;
  }
  return {};
}

void HttpCall::failLater(std::string Reason) {
  this->end();
  this->PendingFailure.callNext(
      [this, Reason = std::move(Reason)] { this->Listener.onCallFailed(Reason); });
}

void HttpCall::end() {
  this->CurrentState = State::Ended;
  this->PendingFailure.cancel();
  this->ConnectTimer.cancel();
  this->Watch.reset();
  this->Socket.reset();
  this->Request.Body.reset();
}

void HttpCall::fail(const std::string &Reason) {
  this->end();
  // Pass a copy, because the listener may destroy this call, which owns the original.
  this->Listener.onCallFailed(std::string(Reason));
}

void HttpCall::onReady(GIOCondition Condition) {
  if (this->CurrentState == State::Connecting) {
    GError *Error = nullptr;
    if (!g_socket_check_connect_result(this->Socket.get(), &Error)) {
      const GErrorPointer Failure(Error);
      this->fail(Failure->message);
      return;
    }
    this->ConnectTimer.cancel();
    this->CurrentState = State::AwaitingHead;
  }
  this->write();
  if ((Condition & ~G_IO_OUT) != 0) {
    // May destroy this call.
    this->read();
    return;
  }
  this->updateWatch();
}

bool HttpCall::hasWrittenAll() const {
  return this->BytesWritten == this->Request.Head.size() + this->bodySize();
}

gssize HttpCall::sendUnwritten(GError **Error) {
  const std::string &Head = this->Request.Head;
  const std::size_t HeadBytes = std::min(this->BytesWritten, Head.size());
  const std::size_t BodyBytes = this->BytesWritten - HeadBytes;
  std::array<GOutputVector, 2> Parts = {{{Head.data() + HeadBytes, Head.size() - HeadBytes}, {}}};
  if (this->Request.Body) {
    Parts[1] = {this->Request.Body->data() + BodyBytes, this->bodySize() - BodyBytes};
  }
  return g_socket_send_message(this->Socket.get(), nullptr, Parts.data(), Parts.size(), nullptr, 0,
                               G_SOCKET_MSG_NONE, nullptr, Error);
}

void HttpCall::write() {
  while (!this->WriteFailed && !this->hasWrittenAll()) {
    this->StartedSending = true;
    GError *Error = nullptr;
    const gssize Count = this->sendUnwritten(&Error);
    const GErrorPointer Failure(Error);
    if (Count < 0) {
      // The server may have responded before it closed the connection; reading will tell.
      this->WriteFailed = !g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      return;
    }
    this->BytesWritten += static_cast<std::size_t>(Count);
  }
}

void HttpCall::updateWatch() {
  GIOCondition Conditions = static_cast<GIOCondition>(0);
  if (this->CurrentState == State::AwaitingHead || this->CurrentState == State::AwaitingBody ||
      this->CurrentState == State::Skipping) {
    Conditions = G_IO_IN;
  }
  if (this->CurrentState != State::Ended && !this->WriteFailed && !this->hasWrittenAll()) {
    Conditions = Conditions | G_IO_OUT;
  }
  if (this->Watch) {
    this->Watch->setConditions(Conditions);
  }
}

void HttpCall::read() {
  std::array<char, ReadBufferBytes> Buffer;
  GError *Error = nullptr;
  const gssize Count =
      g_socket_receive(this->Socket.get(), Buffer.data(), Buffer.size(), nullptr, &Error);
  const GErrorPointer Failure(Error);
  if (Count < 0 && g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    this->updateWatch();
    return;
  }
  if (Count < 0) {
    this->fail(Failure->message);
    return;
  }
  if (Count == 0) {
    // A failed write has taken the error of the socket, so that a reset looks like an ordinary
    // close.
    this->Parser->addEndOfStream(this->WriteFailed ? StreamEnd::Broken : StreamEnd::Closed);
  }
  this->Parser->add({Buffer.data(), static_cast<std::size_t>(Count)});
  this->parse();
}

void HttpCall::parse() {
  if (this->CurrentState == State::AwaitingHead) {
    if (this->Parser->parseHead()) {
      this->CurrentState = State::Paused;
      this->updateWatch();
      this->Listener.onResponseHead(this->Parser->head());
      return;
    }
    if (!this->Parser->error().empty()) {
      this->fail(this->Parser->error());
      return;
    }
  }
  if (this->CurrentState == State::AwaitingBody) {
    this->deliverBody();
    return;
  }
  if (this->CurrentState == State::Skipping) {
    this->discardBody();
    return;
  }
  this->updateWatch();
}

void HttpCall::resizeReceiveBuffer(ReceiveBuffer Size) {
  if (this->Socket && std::exchange(this->CurrentReceiveBuffer, Size) != Size) {
    setReceiveBuffer(this->Socket.get(), Size);
  }
}

void HttpCall::readMore() {
  this->CurrentState = State::AwaitingBody;
  this->deliverBody();
}

void HttpCall::skipResponse() {
  if (++this->SkippedResponses > MaxSkippedResponses) {
    this->failLater("too many responses belong to other requests");
    return;
  }
  this->CurrentState = State::Skipping;
  this->discardBody();
}

void HttpCall::discardBody() {
  std::string Discarded;
  this->Parser->parseBody(Discarded);
  if (!this->Parser->error().empty()) {
    this->failLater(this->Parser->error());
    return;
  }
  if (!this->Parser->isComplete()) {
    this->updateWatch();
    return;
  }
  this->Parser = this->Parser->takeNext();
  this->CurrentState = State::AwaitingHead;
  this->parse();
}

void HttpCall::deliverBody() {
  std::string Bytes;
  this->Parser->parseBody(Bytes);
  if (!this->Parser->error().empty()) {
    this->fail(this->Parser->error());
    return;
  }
  const bool IsEnd = this->Parser->isComplete();
  if (Bytes.empty() && !IsEnd) {
    this->updateWatch();
    return;
  }
  this->CurrentState = State::Paused;
  this->updateWatch();
  if (IsEnd) {
    const bool AllSent = !this->WriteFailed && this->hasWrittenAll();
    // The connection may carry a response for which no memory is free.
    this->resizeReceiveBuffer(ReceiveBuffer::Small);
    GObjectPointer<GSocket> Unused = std::move(this->Socket);
    this->end();
    if (AllSent && this->Parser->isReusable()) {
      this->Pool.addIdle(this->Request.Destination, std::move(Unused), this->idleLifetime());
    }
  }
  this->Listener.onResponseBody(std::move(Bytes), IsEnd);
}

Duration HttpCall::idleLifetime() const {
  const std::string_view Value = this->Parser->head().field("Keep-Alive");
  const std::size_t Position = Value.find(TimeoutParameter);
  if (Position == std::string_view::npos) {
    return DefaultIdleLifetime;
  }
  int Seconds = 0;
  const char *Digits = Value.data() + Position + TimeoutParameter.size();
  std::from_chars(Digits, Value.data() + Value.size(), Seconds);
  return std::clamp<Duration>(std::chrono::seconds(Seconds) - IdleLifetimeMargin, 0s,
                              DefaultIdleLifetime * 10);
}

} // namespace anvilsaddle
