#include "transport/TargetCall.h"

#include "transport/TargetConnections.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ReadSize = 65536;
/// Kept if the target says nothing; common servers close idle connections after 5 s or more.
constexpr Duration UsualLifetime = 8s;
/// The target may close this much earlier than it says, as its clock started before ours.
constexpr Duration LifetimeMargin = 500ms;
/// Answers of other requests that are passed over on one connection.
constexpr int MaxSkipped = 4;
/// Whole seconds, written by the target as `timeout=N`.
constexpr std::string_view TimeoutParameter = "timeout=";

/// Seconds without traffic before the first question whether the other end is there, between
/// questions, and unanswered questions that end the connection: three seconds in all.
constexpr int SilenceSeconds = 1;
constexpr int QuestionSeconds = 1;
constexpr int UnansweredQuestions = 2;
constexpr int UnacknowledgedMilliseconds = 2500;

void detectSilence(GSocket *Socket) {
  g_socket_set_keepalive(Socket, TRUE);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPIDLE, SilenceSeconds, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPINTVL, QuestionSeconds, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPCNT, UnansweredQuestions, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMilliseconds, nullptr);
}

} // namespace

TargetCall::TargetCall(TargetConnections &Connections, TargetRequest Request,
                       TargetCallListener &Listener)
    : Connections(Connections), Request(std::move(Request)), Listener(Listener),
      Parser(std::make_unique<ResponseParser>(this->Request.IsHead)) {}

TargetCall::~TargetCall() {
  g_clear_handle_id(&this->FailureTimer, g_source_remove);
  g_clear_handle_id(&this->ConnectTimer, g_source_remove);
}

void TargetCall::send() {
  this->Output = std::move(this->Request.Head) + this->Request.Body;
  this->Socket = this->Connections.take(this->Request.Destination, this->Request.MaxIdle);
  if (!this->Socket) {
    if (std::string Error = this->connect(); !Error.empty()) {
      this->failLater(std::move(Error));
      return;
    }
    this->startWatch();
    this->Watch->set(G_IO_OUT);
    if (this->Request.ConnectLimit > 0ms) {
      const std::int64_t Limit = toMilliseconds(this->Request.ConnectLimit);
      this->ConnectTimer = g_timeout_add(static_cast<guint>(Limit), onConnectLimit, this);
    }
    return;
  }
  this->Reused = true;
  this->Now = State::AwaitingHead;
  this->startWatch();
  this->write();
  this->updateWatch();
}

void TargetCall::startWatch() {
  this->Watch =
      std::make_unique<SocketWatch>(g_socket_get_fd(this->Socket.get()),
                                    [this](GIOCondition Condition) { this->onReady(Condition); });
}

std::string TargetCall::connect() {
  const GObjectPointer<GSocketAddress> Address(g_inet_socket_address_new_from_string(
      this->Request.Destination.Address.c_str(), this->Request.Destination.Port));
  if (!Address) {
    return "the address is not an IP number";
  }
  GError *Error = nullptr;
  this->Socket.reset(g_socket_new(g_socket_address_get_family(Address.get()), G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, &Error));
  if (this->Socket) {
    g_socket_set_blocking(this->Socket.get(), FALSE);
    g_socket_set_option(this->Socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    if (this->Request.DetectSilence) {
      detectSilence(this->Socket.get());
    }
    g_socket_connect(this->Socket.get(), Address.get(), nullptr, &Error);
  }
  const GErrorPointer Failure(Error);
  if (Failure && !g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_PENDING)) {
    return Failure->message;
  }
  return {};
}

void TargetCall::failLater(std::string Reason) {
  this->FailureReason = std::move(Reason);
  this->FailureTimer = g_idle_add_full(G_PRIORITY_DEFAULT, onFailureLater, this, nullptr);
}

gboolean TargetCall::onFailureLater(gpointer Data) {
  auto &Self = *static_cast<TargetCall *>(Data);
  Self.FailureTimer = 0;
  Self.fail(Self.FailureReason);
  return G_SOURCE_REMOVE;
}

gboolean TargetCall::onConnectLimit(gpointer Data) {
  auto &Self = *static_cast<TargetCall *>(Data);
  Self.ConnectTimer = 0;
  Self.fail("no connection in time");
  return G_SOURCE_REMOVE;
}

void TargetCall::fail(const std::string &Reason) {
  this->Now = State::Ended;
  this->Watch.reset();
  this->Socket.reset();
  // A copy, because the listener may destroy this call and with it the text.
  this->Listener.onCallFailed(std::string(Reason));
}

void TargetCall::onReady(GIOCondition Condition) {
  if (this->Now == State::Connecting) {
    GError *Error = nullptr;
    if (!g_socket_check_connect_result(this->Socket.get(), &Error)) {
      const GErrorPointer Failure(Error);
      g_clear_handle_id(&this->ConnectTimer, g_source_remove);
      this->fail(Failure->message);
      return;
    }
    g_clear_handle_id(&this->ConnectTimer, g_source_remove);
    this->Now = State::AwaitingHead;
  }
  this->write();
  if ((Condition & ~G_IO_OUT) != 0) {
    // May destroy this call.
    this->read();
    return;
  }
  this->updateWatch();
}

void TargetCall::write() {
  while (!this->WriteFailed && this->Written < this->Output.size()) {
    this->Sent = true;
    GError *Error = nullptr;
    const gssize Count = g_socket_send(this->Socket.get(), this->Output.data() + this->Written,
                                       this->Output.size() - this->Written, nullptr, &Error);
    const GErrorPointer Failure(Error);
    if (Count < 0) {
      // The target may have answered before it closed; the read decides.
      this->WriteFailed = !g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      return;
    }
    this->Written += static_cast<std::size_t>(Count);
  }
}

void TargetCall::updateWatch() {
  GIOCondition Wanted = static_cast<GIOCondition>(0);
  if (this->Now == State::AwaitingHead || this->Now == State::AwaitingBody ||
      this->Now == State::Skipping) {
    Wanted = G_IO_IN;
  }
  if (this->Now != State::Ended && !this->WriteFailed && this->Written < this->Output.size()) {
    Wanted = Wanted | G_IO_OUT;
  }
  if (this->Watch) {
    this->Watch->set(Wanted);
  }
}

void TargetCall::read() {
  std::array<char, ReadSize> Buffer;
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
    this->Parser->addEndOfStream();
  }
  this->Parser->add({Buffer.data(), static_cast<std::size_t>(Count)});
  this->parse();
}

void TargetCall::parse() {
  if (this->Now == State::AwaitingHead) {
    if (this->Parser->parseHead()) {
      this->Now = State::Idle;
      this->updateWatch();
      this->Listener.onCallHead(this->Parser->head());
      return;
    }
    if (!this->Parser->error().empty()) {
      this->fail(this->Parser->error());
      return;
    }
  }
  if (this->Now == State::AwaitingBody) {
    this->deliverBody();
    return;
  }
  if (this->Now == State::Skipping) {
    this->skipBody();
    return;
  }
  this->updateWatch();
}

void TargetCall::readMore() {
  this->Now = State::AwaitingBody;
  this->deliverBody();
}

void TargetCall::skipAnswer() {
  if (++this->Skipped > MaxSkipped) {
    this->failLater("too many answers that belong to other requests");
    return;
  }
  this->Now = State::Skipping;
  this->skipBody();
}

void TargetCall::skipBody() {
  std::string Ignored;
  this->Parser->parseBody(Ignored);
  if (!this->Parser->error().empty()) {
    this->failLater(this->Parser->error());
    return;
  }
  if (!this->Parser->isComplete()) {
    this->updateWatch();
    return;
  }
  this->Parser = this->Parser->takeNext();
  this->Now = State::AwaitingHead;
  this->parse();
}

void TargetCall::deliverBody() {
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
  this->Now = IsEnd ? State::Ended : State::Idle;
  this->updateWatch();
  if (IsEnd) {
    this->Watch.reset();
    const bool AllSent = !this->WriteFailed && this->Written == this->Output.size();
    if (AllSent && this->Parser->isReusable()) {
      this->Connections.keep(this->Request.Destination, std::move(this->Socket),
                             this->idleLifetime());
    }
    this->Socket.reset();
  }
  this->Listener.onCallBytes(std::move(Bytes), IsEnd);
}

Duration TargetCall::idleLifetime() const {
  const std::string_view Value = this->Parser->head().field("Keep-Alive");
  const std::size_t Place = Value.find(TimeoutParameter);
  if (Place == std::string_view::npos) {
    return UsualLifetime;
  }
  int Seconds = 0;
  const char *Digits = Value.data() + Place + TimeoutParameter.size();
  std::from_chars(Digits, Value.data() + Value.size(), Seconds);
  return std::clamp<Duration>(std::chrono::seconds(Seconds) - LifetimeMargin, 0s,
                              UsualLifetime * 10);
}

} // namespace anvilsaddle
