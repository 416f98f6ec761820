#include "ArbitraryMessage.h"
#include "Property.h"
#include "protocol/GlibMessageAuthenticator.h"
#include "protocol/PeerEnvelope.h"

#include <string>
#include <variant>

using namespace anvilsaddle;

namespace {

const GlibMessageAuthenticator Authenticator("fleet-key-of-the-tests");
const VmName Receiver("entry-2");

PeerEnvelope arbitraryEnvelope() {
  const auto Name = *rc::gen::nonEmpty(shortText());
  return {VmName(Name), arbitraryIncarnation(), *rc::gen::arbitrary<std::uint64_t>(),
          *rc::gen::arbitrary<std::string>()};
}

std::variant<PeerEnvelope, PeerError> open(std::string_view Datagram) {
  return PeerEnvelope::open(Datagram, Authenticator, Receiver);
}

} // namespace

class PeerEnvelopeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerEnvelopeTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(modifiedDatagramsAreRejected);
  CPPUNIT_TEST(wrongKeyOrReceiverIsRejected);
  CPPUNIT_TEST(fullPayloadFits);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against lost or modified fields.
  void roundTrip() {
    checkProperty("any envelope is parsed unchanged", [] {
      const PeerEnvelope Envelope = arbitraryEnvelope();
      RC_ASSERT(std::get<PeerEnvelope>(open(Envelope.seal(Authenticator, Receiver))) == Envelope);
    });
  }

  /// Guards against bytes that the authentication code does not cover.
  void modifiedDatagramsAreRejected() {
    checkProperty("every modified byte and every truncation is rejected", [] {
      const std::string Datagram = arbitraryEnvelope().seal(Authenticator, Receiver);
      const char Flip = static_cast<char>(*rc::gen::inRange(1, 256));
      for (std::size_t Index = 0; Index < Datagram.size(); ++Index) {
        std::string Changed = Datagram;
        Changed[Index] = static_cast<char>(Changed[Index] ^ Flip);
        RC_ASSERT(std::holds_alternative<PeerError>(open(Changed)));
        RC_ASSERT(std::holds_alternative<PeerError>(open(Datagram.substr(0, Index))));
      }
      RC_ASSERT(std::holds_alternative<PeerError>(open(Datagram + "x")));
    });
  }

  /// Guards against an entry that accepts a datagram for another entry.
  void wrongKeyOrReceiverIsRejected() {
    const PeerEnvelope Envelope{VmName("entry-1"), {1, 2}, 3, "payload"};
    const std::string Datagram = Envelope.seal(Authenticator, Receiver);
    const auto Reason = [&](const MessageAuthenticator &Other, const char *Name) {
      return std::get<PeerError>(PeerEnvelope::open(Datagram, Other, VmName(Name))).Reason;
    };
    CPPUNIT_ASSERT(Reason(GlibMessageAuthenticator("another key"), "entry-2") ==
                   PeerRejection::BadAuthentication);
    CPPUNIT_ASSERT(Reason(Authenticator, "entry-3") == PeerRejection::BadAuthentication);
    CPPUNIT_ASSERT(std::get<PeerError>(open(std::string(1401, '\1'))).Reason ==
                   PeerRejection::TooLarge);
    CPPUNIT_ASSERT(std::get<PeerError>(open(std::string(41, '\1'))).Reason ==
                   PeerRejection::Truncated);
    CPPUNIT_ASSERT(std::get<PeerError>(open(std::string(99, '\2'))).Reason ==
                   PeerRejection::UnsupportedVersion);
  }

  /// Guards against a payload limit that lets a datagram exceed the datagram limit.
  void fullPayloadFits() {
    PeerEnvelope Envelope{VmName(std::string(63, 'n')), {1, 2}, 3, {}};
    Envelope.Payload.assign(PeerEnvelope::payloadLimit(Envelope.Sender), 'p');
    const std::string Datagram = Envelope.seal(Authenticator, Receiver);
    CPPUNIT_ASSERT_EQUAL(PeerEnvelope::MaxDatagramBytes, Datagram.size());
    CPPUNIT_ASSERT(std::get<PeerEnvelope>(open(Datagram)) == Envelope);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerEnvelopeTest);
