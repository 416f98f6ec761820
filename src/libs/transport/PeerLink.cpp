#include "transport/PeerLink.h"

#include "transport/EventLog.h"

#include <utility>

namespace anvilsaddle {

PeerLink::PeerLink(const EntryIdentity &Self, const Sealer &Seals, const SettingsStore &Settings,
                   Listener Listening)
    : Events(std::move(Listening)),
      Socket(Self.Vm, Self.Run, Seals,
             {[this](const PeerEnvelope &, const PeerMessage &Message) {
                this->Events.OnMessage(Message);
              },
              [](const PeerError &Error, const std::string &From) {
                logEvent(LogLevel::Debug, "peer_datagram_rejected",
                         {{"from", From}, {"reason", toString(Error.Reason)}});
              }}),
      SettingsServer(Settings, Seals), SettingsClient(Settings, Seals) {}

std::string PeerLink::start(const std::string &Address, std::uint16_t Port) {
  return this->Socket.start(Address, Port);
}

void PeerLink::send(const SendPeerMessage &Outgoing) {
  // Lost messages are repeated by the protocol, so that a failed send needs no handling here.
  this->Socket.send(Outgoing.Receiver, Outgoing.Destination.Address, Outgoing.Destination.Port,
                    Outgoing.Message);
}

void PeerLink::fetch(const FetchSettings &Wanted) {
  this->SettingsClient.fetch(
      Wanted.Source,
      [this, Entry = Wanted.Entry](const std::string &Path, std::uint64_t Revision,
                                   const std::string &Text) {
        this->Events.OnSettings(Entry, Path, Revision, Text);
      },
      [this, Entry = Wanted.Entry](bool Complete) { this->Events.OnFetched(Entry, Complete); });
}

} // namespace anvilsaddle
