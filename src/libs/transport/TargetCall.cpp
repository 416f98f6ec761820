#include "transport/TargetCall.h"

#include "transport/BodySource.h"
#include "transport/TargetConnections.h"

#include <array>
#include <cstdio>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace anvilsaddle {

namespace {
constexpr std::size_t ReadSize = 65536;
constexpr auto NoCondition = static_cast<GIOCondition>(0);

GIOCondition operator|(GIOCondition Left, GIOCondition Right) {
  return static_cast<GIOCondition>(static_cast<int>(Left) | static_cast<int>(Right));
}
} // namespace

TargetCall::TargetCall(TargetConnections &Connections, TargetRequest Request,
                       TargetCallListener &Listener)
    : Connections(Connections), Request(std::move(Request)), Listener(Listener),
      Parser(this->Request.IsHead) {}

TargetCall::~TargetCall() {
  g_clear_handle_id(&this->FailureTimer, g_source_remove);
  this->watch(NoCondition);
  if (this->Request.Rest) {
    this->Request.Rest->setBodyCallback(nullptr);
  }
}

void TargetCall::send() {
  this->Output = std::move(this->Request.Head) + this->Request.Body;
  this->BodyEnded = !this->Request.Rest;
  this->Socket = this->Connections.take(this->Request.Destination);
  if (!this->Socket) {
    if (std::string Error = this->connect(); !Error.empty()) {
      this->failLater(std::move(Error));
      return;
    }
    this->watch(G_IO_OUT);
    return;
  }
  this->Now = State::AwaitingHead;
  if (this->Request.Rest) {
    this->Request.Rest->setBodyCallback([this] {
      this->fillOutput();
      this->updateWatch();
    });
  }
  this->fillOutput();
  this->write();
  this->updateWatch();
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

void TargetCall::fail(const std::string &Reason) {
  this->Now = State::Ended;
  this->watch(NoCondition);
  this->Socket.reset();
  // A copy, because the listener may destroy this call and with it the text.
  this->Listener.onCallFailed(std::string(Reason));
}

void TargetCall::watch(GIOCondition Condition) {
  if (Condition == this->Watched) {
    return;
  }
  if (this->Source) {
    g_source_destroy(this->Source);
    g_source_unref(this->Source);
    this->Source = nullptr;
  }
  this->Watched = Condition;
  if (Condition != NoCondition) {
    this->Source = g_socket_create_source(this->Socket.get(), Condition, nullptr);
    g_source_set_callback(this->Source, G_SOURCE_FUNC(onReady), this, nullptr);
    g_source_attach(this->Source, nullptr);
  }
}

gboolean TargetCall::onReady(GSocket *, GIOCondition Condition, gpointer Data) {
  auto &Self = *static_cast<TargetCall *>(Data);
  if (Self.Now == State::Connecting) {
    GError *Error = nullptr;
    if (!g_socket_check_connect_result(Self.Socket.get(), &Error)) {
      const GErrorPointer Failure(Error);
      Self.fail(Failure->message);
      return G_SOURCE_REMOVE;
    }
    Self.Now = State::AwaitingHead;
    if (Self.Request.Rest) {
      Self.Request.Rest->setBodyCallback([&Self] {
        Self.fillOutput();
        Self.updateWatch();
      });
    }
  }
  Self.fillOutput();
  Self.write();
  if ((Condition & ~G_IO_OUT) != 0) {
    // May destroy this call.
    Self.read();
    return G_SOURCE_CONTINUE;
  }
  Self.updateWatch();
  return G_SOURCE_CONTINUE;
}

void TargetCall::fillOutput() {
  if (!this->Request.Rest || this->BodyEnded || this->WriteFailed ||
      this->Written < this->Output.size()) {
    return;
  }
  const std::string Part = this->Request.Rest->takeBody();
  this->Output.clear();
  this->Written = 0;
  if (!Part.empty()) {
    if (this->Request.Chunked) {
      std::array<char, 20> Size{};
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Part.size());
      this->Output = Size.data() + Part + "\r\n";
    } else {
      this->Output = Part;
    }
    return;
  }
  if (this->Request.Rest->isBodyComplete()) {
    this->BodyEnded = true;
    this->Output = this->Request.Chunked ? "0\r\n\r\n" : "";
  }
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
    if (this->Written == this->Output.size()) {
      this->fillOutput();
    }
  }
}

void TargetCall::updateWatch() {
  GIOCondition Wanted = NoCondition;
  if (this->Now == State::AwaitingHead || this->Now == State::AwaitingBody) {
    Wanted = G_IO_IN;
  }
  if (this->Now != State::Ended && !this->WriteFailed && this->Written < this->Output.size()) {
    Wanted = Wanted | G_IO_OUT;
  }
  this->watch(Wanted);
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
    this->Parser.addEnd();
  }
  this->Parser.add({Buffer.data(), static_cast<std::size_t>(Count)});
  this->parse();
}

void TargetCall::parse() {
  if (this->Now == State::AwaitingHead) {
    if (this->Parser.parseHead()) {
      this->Now = State::Idle;
      this->updateWatch();
      this->Listener.onCallHead(this->Parser.head());
      return;
    }
    if (!this->Parser.error().empty()) {
      this->fail(this->Parser.error());
      return;
    }
  }
  if (this->Now == State::AwaitingBody) {
    this->deliverBody();
    return;
  }
  this->updateWatch();
}

void TargetCall::readMore() {
  this->Now = State::AwaitingBody;
  this->deliverBody();
}

void TargetCall::deliverBody() {
  std::string Bytes;
  this->Parser.parseBody(Bytes);
  if (!this->Parser.error().empty()) {
    this->fail(this->Parser.error());
    return;
  }
  const bool IsEnd = this->Parser.isComplete();
  if (Bytes.empty() && !IsEnd) {
    this->updateWatch();
    return;
  }
  this->Now = IsEnd ? State::Ended : State::Idle;
  this->updateWatch();
  if (IsEnd) {
    const bool AllSent =
        this->BodyEnded && !this->WriteFailed && this->Written == this->Output.size();
    if (AllSent && this->Parser.isReusable()) {
      this->Connections.keep(this->Request.Destination, std::move(this->Socket));
    }
    this->Socket.reset();
  }
  this->Listener.onCallBytes(std::move(Bytes), IsEnd);
}

} // namespace anvilsaddle
