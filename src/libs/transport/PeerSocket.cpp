#include "transport/PeerSocket.h"

#include "coordination/MessageAuthenticator.h"

#include <array>
#include <variant>

namespace anvilsaddle {

namespace {

/// Datagrams that are read before the main loop dispatches its other sources, so that a flood of
/// datagrams does not delay requests.
constexpr int MaxDatagramsPerDispatch = 64;
/// Capacity of the cache of parsed addresses. VMs are replaced over time, so the cache is cleared
/// when it is full.
constexpr std::size_t MaxCachedAddresses = 1024;

std::string errorText(const char *Operation, GError *Error) {
  const GErrorPointer Failure(Error);
  return std::string(Operation) + ": " + (Failure ? Failure->message : "unknown error");
}

std::string formatAddress(GSocketAddress *Address) {
  if (!Address || !G_IS_INET_SOCKET_ADDRESS(Address)) {
    return "unknown";
  }
  auto *Inet = G_INET_SOCKET_ADDRESS(Address);
  gchar *Text = g_inet_address_to_string(g_inet_socket_address_get_address(Inet));
  std::string Result = Text;
  g_free(Text);
  return Result + ":" + std::to_string(g_inet_socket_address_get_port(Inet));
}

} // namespace

PeerSocket::PeerSocket(VmName Self, const Incarnation &OwnIncarnation,
                       const MessageAuthenticator &Authenticator, Callbacks Handlers)
    : Self(std::move(Self)), OwnIncarnation(OwnIncarnation), Authenticator(Authenticator),
      Handlers(std::move(Handlers)) {}

PeerSocket::~PeerSocket() {
  if (this->ReadSource) {
    g_source_destroy(this->ReadSource);
    g_source_unref(this->ReadSource);
  }
}

std::string PeerSocket::start(const std::string &Address, std::uint16_t Port) {
  const GObjectPointer<GSocketAddress> Local(
      g_inet_socket_address_new_from_string(Address.c_str(), Port));
  if (!Local) {
    return "peer address '" + Address + "' is not an IP address";
  }
  GError *Error = nullptr;
  GObjectPointer<GSocket> Opened(g_socket_new(g_socket_address_get_family(Local.get()),
                                              G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP,
                                              &Error));
  if (!Opened) {
    return errorText("cannot open the peer socket", Error);
  }
  g_socket_set_blocking(Opened.get(), FALSE);
  if (!g_socket_bind(Opened.get(), Local.get(), FALSE, &Error)) {
    return errorText(
        ("cannot bind the peer socket to " + Address + ":" + std::to_string(Port)).c_str(), Error);
  }
  const GObjectPointer<GSocketAddress> Bound(g_socket_get_local_address(Opened.get(), &Error));
  if (!Bound) {
    return errorText("cannot determine the address of the peer socket", Error);
  }
  this->BoundPort = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(Bound.get()));
  this->Socket = std::move(Opened);
  this->ReadSource = g_socket_create_source(this->Socket.get(), G_IO_IN, nullptr);
  g_source_set_callback(this->ReadSource, G_SOURCE_FUNC(onReadable), this, nullptr);
  g_source_attach(this->ReadSource, g_main_context_get_thread_default());
  return {};
}

bool PeerSocket::send(const VmName &Receiver, const std::string &Address, std::uint16_t Port,
                      const PeerMessage &Message) {
  GSocketAddress *To = this->Socket ? this->socketAddress(Address, Port) : nullptr;
  if (!To) {
    ++this->Traffic.SendFailures;
    return false;
  }
  bool IsComplete = true;
  for (std::string &Payload : this->Codec.encode(Message, PeerEnvelope::payloadLimit(this->Self))) {
    const std::string Datagram =
        PeerEnvelope{this->Self, this->OwnIncarnation, ++this->Sequence, std::move(Payload)}.seal(
            this->Authenticator, Receiver);
    GError *Error = nullptr;
    const gssize Sent =
        g_socket_send_to(this->Socket.get(), To, Datagram.data(), Datagram.size(), nullptr, &Error);
    const GErrorPointer Failure(Error);
    if (Sent < 0) {
      ++this->Traffic.SendFailures;
      IsComplete = false;
      continue;
    }
    ++this->Traffic.DatagramsOut;
    this->Traffic.BytesOut += Datagram.size();
  }
  return IsComplete;
}

void PeerSocket::raiseIncarnation(std::int64_t StartedUnixMilliseconds) {
  if (StartedUnixMilliseconds > this->OwnIncarnation.StartedUnixMilliseconds) {
    this->OwnIncarnation.StartedUnixMilliseconds = StartedUnixMilliseconds;
  }
}

gboolean PeerSocket::onReadable(GSocket *, GIOCondition, gpointer Data) {
  auto &Self = *static_cast<PeerSocket *>(Data);
  for (int Count = 0; Count < MaxDatagramsPerDispatch && Self.receiveDatagram(); ++Count) {
  }
  return G_SOURCE_CONTINUE;
}

bool PeerSocket::receiveDatagram() {
  // The extra byte distinguishes a datagram that is too large from one that just fits.
  std::array<char, PeerEnvelope::MaxDatagramBytes + 1> Buffer;
  GSocketAddress *From = nullptr;
  GError *Error = nullptr;
  const gssize Size = g_socket_receive_from(this->Socket.get(), &From, Buffer.data(), Buffer.size(),
                                            nullptr, &Error);
  const GErrorPointer Failure(Error);
  const GObjectPointer<GSocketAddress> Source(From);
  if (Size < 0) {
    return false;
  }
  this->processDatagram({Buffer.data(), static_cast<std::size_t>(Size)}, Source.get());
  return true;
}

void PeerSocket::processDatagram(std::string_view Datagram, GSocketAddress *From) {
  this->Traffic.BytesIn += Datagram.size();
  const auto Opened = PeerEnvelope::open(Datagram, this->Authenticator, this->Self);
  if (const auto *Error = std::get_if<PeerError>(&Opened)) {
    this->reject(*Error, From);
    return;
  }
  const auto &Envelope = std::get<PeerEnvelope>(Opened);
  if (const auto Reason = this->SenderReplayGuard.check(Envelope.Sender, Envelope.SenderIncarnation,
                                                        Envelope.Sequence)) {
    this->reject({*Reason, "sender " + Envelope.Sender.str() + ", sequence number " +
                               std::to_string(Envelope.Sequence)},
                 From);
    return;
  }
  const auto Message = this->Codec.decode(Envelope.Payload);
  if (const auto *Error = std::get_if<PeerError>(&Message)) {
    this->reject(*Error, From);
    return;
  }
  ++this->Traffic.DatagramsIn;
  this->Handlers.OnMessage(Envelope, std::get<PeerMessage>(Message));
}

void PeerSocket::reject(const PeerError &Error, GSocketAddress *From) {
  ++this->Traffic.Rejected.at(static_cast<std::size_t>(Error.Reason));
  if (this->Handlers.OnRejected) {
    this->Handlers.OnRejected(Error, formatAddress(From));
  }
}

GSocketAddress *PeerSocket::socketAddress(const std::string &Address, std::uint16_t Port) {
  const auto Found = this->AddressCache.find({Address, Port});
  if (Found != this->AddressCache.end()) {
    return Found->second.get();
  }
  GObjectPointer<GSocketAddress> Parsed(
      g_inet_socket_address_new_from_string(Address.c_str(), Port));
  if (!Parsed) {
    return nullptr;
  }
  if (this->AddressCache.size() >= MaxCachedAddresses) {
    this->AddressCache.clear();
  }
  return this->AddressCache.emplace(std::pair(Address, Port), std::move(Parsed))
      .first->second.get();
}

} // namespace anvilsaddle
