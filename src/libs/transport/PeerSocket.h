#pragma once

#include "coordination/PeerMessage.h"
#include "coordination/membership/Incarnation.h"
#include "protocol/PeerCodec.h"
#include "protocol/PeerEnvelope.h"
#include "protocol/PeerTraffic.h"
#include "protocol/ReplayGuard.h"
#include "transport/GlibPointers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace anvilsaddle {

class MessageAuthenticator;

/// Sends and receives authenticated peer messages over UDP on the thread-default GLib main context.
/// Delivery is not guaranteed. Not thread-safe.
class PeerSocket {
public:
  struct Callbacks {
    /// Called with each message that is authentic, valid and not a replay.
    std::function<void(const PeerEnvelope &Envelope, const PeerMessage &Message)> OnMessage;
    /// Called with each datagram that was dropped; may be empty. `From` is `address:port`.
    std::function<void(const PeerError &Error, const std::string &From)> OnRejected;
  };

  /// Precondition: the authenticator outlives the socket, and the VM name has 1 to 63 bytes. The
  /// callbacks must not destroy the socket.
  PeerSocket(VmName Self, const Incarnation &OwnIncarnation,
             const MessageAuthenticator &Authenticator, Callbacks Handlers);
  ~PeerSocket();
  PeerSocket(const PeerSocket &) = delete;
  PeerSocket &operator=(const PeerSocket &) = delete;

  /// Binds to an IP address and port (0 for any free port) and starts receiving. Returns an error
  /// message, empty on success.
  std::string start(const std::string &Address, std::uint16_t Port);
  /// The bound port; 0 before start().
  std::uint16_t port() const { return this->BoundPort; }

  /// Sends a message, split into several datagrams if its list is long. Returns false if any of
  /// them could not be sent or if the address is not an IP address. The message is then lost at
  /// least in part.
  bool send(const VmName &Receiver, const std::string &Address, std::uint16_t Port,
            const PeerMessage &Message);

  /// Sends all further messages under a later incarnation. Ignored if the time is not later.
  void raiseIncarnation(std::int64_t StartedUnixMilliseconds);

  /// Discards the replay state of all senders except these, which should be the live entries.
  void retainSenders(const std::set<VmName> &Senders) { this->SenderReplayGuard.retain(Senders); }

  const PeerTraffic &traffic() const { return this->Traffic; }

private:
  static gboolean onReadable(GSocket *Socket, GIOCondition Condition, gpointer Data);

  /// Reads one datagram. Returns false if there is none.
  bool receiveDatagram();
  void processDatagram(std::string_view Datagram, GSocketAddress *From);
  void reject(const PeerError &Error, GSocketAddress *From);
  GSocketAddress *socketAddress(const std::string &Address, std::uint16_t Port);

  VmName Self;
  Incarnation OwnIncarnation;
  const MessageAuthenticator &Authenticator;
  Callbacks Handlers;
  PeerCodec Codec;
  ReplayGuard SenderReplayGuard;
  PeerTraffic Traffic;
  GObjectPointer<GSocket> Socket;
  GSource *ReadSource = nullptr;
  std::uint16_t BoundPort = 0;
  std::uint64_t Sequence = 0;
  std::map<std::pair<std::string, std::uint16_t>, GObjectPointer<GSocketAddress>> AddressCache;
};

} // namespace anvilsaddle
