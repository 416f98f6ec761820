#pragma once

#include "coordination/Effect.h"
#include "coordination/EntryIdentity.h"
#include "transport/PeerSettingsClient.h"
#include "transport/PeerSettingsServer.h"
#include "transport/PeerSocket.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace anvilsaddle {

class RequestServer;
class Sealer;
class SettingsStore;

/// Carries out what concerns other entries: messages over UDP, and settings over HTTP. Not
/// thread-safe.
class PeerLink {
public:
  struct Listener {
    std::function<void(const PeerMessage &Message)> OnMessage;
    std::function<void(const VmName &Entry, const std::string &Path, std::uint64_t Revision,
                       const std::string &Text)>
        OnSettings;
    std::function<void(const VmName &Entry, bool Complete)> OnFetched;
  };

  /// Precondition: sealer and store outlive the link.
  PeerLink(const EntryIdentity &Self, const Sealer &Seals, const SettingsStore &Settings,
           Listener Events);

  /// Opens the UDP port. Returns an error text, empty on success.
  std::string start(const std::string &Address, std::uint16_t Port);
  /// Serves settings to other entries. Precondition: the link outlives the server.
  void attach(RequestServer &Server) { this->SettingsServer.attach(Server); }

  void send(const SendPeerMessage &Outgoing);
  void fetch(const FetchSettings &Wanted);
  /// Limits replay state to listed entries.
  void retainSenders(const std::set<VmName> &Senders) { this->Socket.retainSenders(Senders); }
  const PeerTraffic &traffic() const { return this->Socket.traffic(); }

private:
  Listener Events;
  PeerSocket Socket;
  PeerSettingsServer SettingsServer;
  PeerSettingsClient SettingsClient;
};

} // namespace anvilsaddle
