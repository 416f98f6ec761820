#pragma once

#include "coordination/Incarnation.h"
#include "coordination/PeerMessage.h"
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

class Sealer;

/// Sends and receives authenticated peer messages over UDP on the thread-default GLib main context.
/// Delivery is not guaranteed. Not thread-safe.
class PeerSocket {
public:
  struct Listener {
    /// A message that is authentic, fresh and valid.
    std::function<void(const PeerEnvelope &Envelope, const PeerMessage &Message)> OnMessage;
    /// A datagram that was dropped; may be empty. `From` is `address:port`.
    std::function<void(const PeerError &Error, const std::string &From)> OnRejected;
  };

  /// Precondition: the sealer outlives the socket, the VM name has 1 to 63 bytes. The listener must
  /// not destroy the socket.
  PeerSocket(VmName Self, const Incarnation &Run, const Sealer &Keys, Listener Events);
  ~PeerSocket();
  PeerSocket(const PeerSocket &) = delete;
  PeerSocket &operator=(const PeerSocket &) = delete;

  /// Binds to an IP number and port (0 for any free one) and starts receiving. Returns an error
  /// text, empty on success.
  std::string start(const std::string &Address, std::uint16_t Port);
  /// The bound port; 0 before start().
  std::uint16_t port() const { return this->BoundPort; }

  /// Sends a message, in several datagrams if its list is long. Returns false if any of them could
  /// not be handed to the network or the address is no IP number; the message is then partly lost.
  bool send(const VmName &Receiver, const std::string &Address, std::uint16_t Port,
            const PeerMessage &Message);

  /// Messages from now on belong to a later incarnation. Ignored if it is not later.
  void raiseIncarnation(std::int64_t StartedUnixMilliseconds);

  /// Forgets the replay state of all other senders. Call it with the listed entries.
  void retainSenders(const std::set<VmName> &Senders) { this->Replays.retain(Senders); }

  const PeerTraffic &traffic() const { return this->Traffic; }

private:
  static gboolean onReadable(GSocket *Socket, GIOCondition Condition, gpointer Data);

  /// Reads one datagram; false if there is none.
  bool receiveOne();
  void accept(std::string_view Datagram, GSocketAddress *From);
  void reject(const PeerError &Error, GSocketAddress *From);
  GSocketAddress *peerAddress(const std::string &Address, std::uint16_t Port);

  VmName Self;
  Incarnation Run;
  const Sealer &Keys;
  Listener Events;
  PeerCodec Codec;
  ReplayGuard Replays;
  PeerTraffic Traffic;
  GObjectPointer<GSocket> Socket;
  GSource *ReadSource = nullptr;
  std::uint16_t BoundPort = 0;
  std::uint64_t Sequence = 0;
  std::map<std::pair<std::string, std::uint16_t>, GObjectPointer<GSocketAddress>> Addresses;
};

} // namespace anvilsaddle
