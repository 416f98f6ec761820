#include "Property.h"
#include "protocol/GlibMessageAuthenticator.h"
#include "transport/PeerSocket.h"

#include <memory>
#include <string>
#include <vector>

using namespace anvilsaddle;

namespace {

const GlibMessageAuthenticator FleetAuthenticator("fleet-key-of-the-tests");
constexpr const char *Loopback = "127.0.0.1";

EntryRecord makeMember(std::uint32_t Number) {
  return {"10.0.0." + std::to_string(Number % 250),
          FailureDomainName("d" + std::to_string(Number % 7)), 1'700'000'000'000 + Number, Number,
          EntryState::Ready};
}

/// A socket that records the messages and rejections it receives.
struct Peer {
  Peer(const char *Name, const Incarnation &OwnIncarnation,
       const MessageAuthenticator &Authenticator = FleetAuthenticator)
      : Socket(VmName(Name), OwnIncarnation, Authenticator,
               {[this](const PeerEnvelope &Envelope, const PeerMessage &Message) {
                  this->Envelopes.push_back(Envelope);
                  this->Messages.push_back(Message);
                },
                [this](const PeerError &Error, const std::string &) {
                  this->Rejections.push_back(Error.Reason);
                }}) {
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Socket.start(Loopback, 0));
  }

  std::size_t receivedCount() const { return this->Messages.size() + this->Rejections.size(); }
  /// Runs the main loop until this many datagrams have arrived. The CTest timeout limits the wait.
  void await(std::size_t Count) const {
    while (this->receivedCount() < Count) {
      g_main_context_iteration(nullptr, TRUE);
    }
  }

  std::vector<PeerEnvelope> Envelopes;
  std::vector<PeerMessage> Messages;
  std::vector<PeerRejection> Rejections;
  PeerSocket Socket;
};

/// Sends a datagram without an envelope.
void sendRaw(const Peer &To, const std::string &Bytes) {
  const GObjectPointer<GSocket> Raw(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, nullptr));
  const GObjectPointer<GSocketAddress> Address(
      g_inet_socket_address_new_from_string(Loopback, To.Socket.port()));
  CPPUNIT_ASSERT_EQUAL(
      static_cast<gssize>(Bytes.size()),
      g_socket_send_to(Raw.get(), Address.get(), Bytes.data(), Bytes.size(), nullptr, nullptr));
}

} // namespace

class PeerSocketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerSocketTest);
  CPPUNIT_TEST(messagesArrive);
  CPPUNIT_TEST(longMessagesAreSplit);
  CPPUNIT_TEST(invalidDatagramsAreRejected);
  CPPUNIT_TEST(earlierIncarnationsAreRejected);
  CPPUNIT_TEST(errorsAreReported);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against fields lost between two sockets and against incorrect traffic counters.
  void messagesArrive() {
    Peer Sender("entry-1", {5, 6});
    Peer Receiver("entry-2", {7, 8});
    const PeerMessage Sent = Gossip{{makeMember(1)}};
    CPPUNIT_ASSERT(Sender.Socket.send(VmName("entry-2"), Loopback, Receiver.Socket.port(), Sent));
    Receiver.await(1);
    CPPUNIT_ASSERT(Receiver.Messages.at(0) == Sent);
    CPPUNIT_ASSERT(Receiver.Envelopes.at(0).Sender == VmName("entry-1"));
    const PeerTraffic &Out = Sender.Socket.traffic();
    const PeerTraffic &In = Receiver.Socket.traffic();
    CPPUNIT_ASSERT(Out.DatagramsOut == 1 && In.DatagramsIn == 1);
    CPPUNIT_ASSERT(Out.BytesOut > 0 && Out.BytesOut == In.BytesIn);
  }

  /// Guards against datagrams that are larger than the MTU.
  void longMessagesAreSplit() {
    Peer Sender("entry-1", {5, 6});
    Peer Receiver("entry-2", {7, 8});
    Gossip Long;
    for (std::uint32_t Number = 0; Number < 600; ++Number) {
      Long.Entries.push_back(makeMember(Number));
    }
    CPPUNIT_ASSERT(Sender.Socket.send(VmName("entry-2"), Loopback, Receiver.Socket.port(), Long));
    const auto Datagrams = Sender.Socket.traffic().DatagramsOut;
    CPPUNIT_ASSERT(Datagrams > 1);
    CPPUNIT_ASSERT(Sender.Socket.traffic().BytesOut <= Datagrams * PeerEnvelope::MaxDatagramBytes);
    Receiver.await(Datagrams);
    Gossip Joined;
    for (const PeerMessage &Part : Receiver.Messages) {
      const auto &Members = std::get<Gossip>(Part).Entries;
      Joined.Entries.insert(Joined.Entries.end(), Members.begin(), Members.end());
    }
    CPPUNIT_ASSERT(Joined == Long);
  }

  /// Guards against invalid datagrams that are accepted, and against rejections that are not
  /// counted.
  void invalidDatagramsAreRejected() {
    Peer Receiver("entry-2", {7, 8});
    PeerEnvelope Valid{VmName("entry-1"), {5, 6}, 1, PeerCodec().encode(Gossip{}).front()};
    const std::string Datagram = Valid.seal(FleetAuthenticator, VmName("entry-2"));
    PeerEnvelope Malformed = Valid;
    Malformed.Sequence = 2;
    Malformed.Payload = "no message";
    struct Case {
      std::string Bytes;
      PeerRejection Expected;
    };
    const Case Table[] = {
        {Datagram, PeerRejection::Replayed},
        {Datagram.substr(0, 20), PeerRejection::Truncated},
        {std::string(2000, 'x'), PeerRejection::TooLarge},
        {std::string(100, 'x'), PeerRejection::UnsupportedVersion},
        {Datagram + "x", PeerRejection::BadAuthentication},
        {Valid.seal(FleetAuthenticator, VmName("entry-3")), PeerRejection::BadAuthentication},
        {Valid.seal(GlibMessageAuthenticator("other key"), VmName("entry-2")),
         PeerRejection::BadAuthentication},
        {Malformed.seal(FleetAuthenticator, VmName("entry-2")), PeerRejection::Malformed},
    };
    sendRaw(Receiver, Datagram);
    Receiver.await(1);
    for (const Case &Each : Table) {
      const std::uint64_t Before = Receiver.Socket.traffic().rejected(Each.Expected);
      sendRaw(Receiver, Each.Bytes);
      Receiver.await(Receiver.receivedCount() + 1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(toString(Each.Expected), Before + 1,
                                   Receiver.Socket.traffic().rejected(Each.Expected));
      CPPUNIT_ASSERT_MESSAGE(toString(Each.Expected), Receiver.Rejections.back() == Each.Expected);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Receiver.Messages.size());
  }

  /// Guards against messages of an earlier run of a sender that are accepted after its restart.
  void earlierIncarnationsAreRejected() {
    Peer Receiver("entry-2", {7, 8});
    Peer Earlier("entry-1", {5, 6});
    Peer Later("entry-1", {9, 1});
    for (Peer *Each : {&Earlier, &Later, &Earlier}) {
      Each->Socket.send(VmName("entry-2"), Loopback, Receiver.Socket.port(), Gossip{});
      Receiver.await(Receiver.receivedCount() + 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Receiver.Messages.size());
    CPPUNIT_ASSERT(Receiver.Rejections ==
                   std::vector<PeerRejection>{PeerRejection::OlderIncarnation});
    // The earlier socket stands for a run whose clock was behind. Once it raises its incarnation,
    // its messages are accepted again.
    Earlier.Socket.raiseIncarnation(10);
    Earlier.Socket.send(VmName("entry-2"), Loopback, Receiver.Socket.port(), Gossip{});
    Receiver.await(4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Receiver.Messages.size());
  }

  /// Guards against a daemon that starts without a working peer socket, and against send failures
  /// that are not counted.
  void errorsAreReported() {
    Peer First("entry-1", {5, 6});
    PeerSocket Second(VmName("entry-2"), {7, 8}, FleetAuthenticator, {});
    CPPUNIT_ASSERT(Second.start("no address", 0).find("not an IP address") != std::string::npos);
    CPPUNIT_ASSERT(Second.start(Loopback, First.Socket.port()).find("cannot bind") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!Second.send(VmName("entry-1"), Loopback, First.Socket.port(), Gossip{}));
    CPPUNIT_ASSERT(!First.Socket.send(VmName("entry-2"), "no address", 1, Gossip{}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, First.Socket.traffic().SendFailures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSocketTest);
