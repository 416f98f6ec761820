#include "ArbitraryMessage.h"
#include "Property.h"
#include "protocol/PeerCodec.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <peer_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace anvilsaddle;

namespace {

const VmName Sender("entry-1");
const Incarnation Run{1'700'000'000'000, 7};

/// Joins the lists of message parts of one kind and checks that all other fields are equal.
struct Join {
  PeerMessage &Whole;

  template <typename Message, typename List>
  void append(const Message &Part, List Message::*Elements) const {
    auto &Target = std::get<Message>(this->Whole);
    List Joined = Target.*Elements;
    Joined.insert(Joined.end(), (Part.*Elements).begin(), (Part.*Elements).end());
    Message Fields = Part;
    Fields.*Elements = Target.*Elements;
    RC_ASSERT(Fields == Target);
    Target.*Elements = Joined;
  }
  void operator()(const Heartbeat &Part) const { this->append(Part, &Heartbeat::Groups); }
  void operator()(const LeaseRequest &Part) const { this->append(Part, &LeaseRequest::Claims); }
  void operator()(const LeaseReply &Part) const { this->append(Part, &LeaseReply::Grants); }
  void operator()(const LeaseRelease &Part) const { this->append(Part, &LeaseRelease::Claims); }
  void operator()(const LessorInquiry &Part) const { this->append(Part, &LessorInquiry::Targets); }
  void operator()(const LessorCession &Part) const { this->append(Part, &LessorCession::Targets); }
};

PeerMessage decoded(const std::string &Payload) {
  const auto Result = PeerCodec().decode(Payload, Sender, Run);
  if (const auto *Error = std::get_if<PeerError>(&Result)) {
    RC_FAIL(Error->Message);
  }
  return std::get<PeerMessage>(Result);
}

std::string compact(const wire::PeerMessage &Message) {
  const auto Buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol Out(Buffer);
  Message.write(&Out);
  return Buffer->getBufferAsString();
}

} // namespace

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(truncationIsRefused);
  CPPUNIT_TEST(randomBytesAreHandled);
  CPPUNIT_TEST(invalidFieldsAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against lost or changed fields, and against parts that are too long, lost or invalid.
  void roundTrip() {
    checkProperty("the parts of any message fit and join to the message", [] {
      const PeerMessage Message = arbitraryMessage(Sender, Run, 100);
      const std::vector<std::string> Parts = PeerCodec().encode(Message, 1300);
      RC_ASSERT(!Parts.empty());
      PeerMessage Whole = decoded(Parts.front());
      for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
        RC_ASSERT(Parts[Index].size() <= 1300u);
        if (Index > 0) {
          std::visit(Join{Whole}, decoded(Parts[Index]));
        }
      }
      RC_ASSERT(Whole == Message);
    });
  }

  /// Guards against a message cut short that is taken as a whole one.
  void truncationIsRefused() {
    checkProperty("no proper prefix of a payload is a message", [] {
      const std::string Payload =
          PeerCodec().encode(arbitraryMessage(Sender, Run, 4), 1400).front();
      for (std::size_t Length = 0; Length < Payload.size(); ++Length) {
        RC_ASSERT(std::holds_alternative<PeerError>(
            PeerCodec().decode(Payload.substr(0, Length), Sender, Run)));
      }
    });
  }

  /// Guards against crashes and unbounded memory from forged lengths and unknown fields.
  void randomBytesAreHandled() {
    checkProperty("any bytes give a message or an error with text", [] {
      std::string Bytes = *rc::gen::arbitrary<std::string>();
      if (*rc::gen::arbitrary<bool>()) {
        std::string Valid = PeerCodec().encode(arbitraryMessage(Sender, Run, 4)).front();
        for (const char Byte : Bytes) {
          Valid[*rc::gen::inRange<std::size_t>(0, Valid.size())] = Byte;
        }
        Bytes = Valid;
      }
      const auto Result = PeerCodec().decode(Bytes, Sender, Run);
      const auto *Error = std::get_if<PeerError>(&Result);
      // RC_ASSERT evaluates both sides of ||.
      const bool Described = !Error || !Error->Message.empty();
      RC_ASSERT(Described);
    });
  }

  /// Guards against values outside their range that reach the decisions.
  void invalidFieldsAreRefused() {
    wire::PeerMessage UnknownState;
    wire::Heartbeat Beat;
    Beat.state = 3;
    UnknownState.__set_heartbeat(Beat);
    wire::PeerMessage TwoMessages;
    TwoMessages.__set_leaseRelease({});
    TwoMessages.__set_lessorInquiry({});
    wire::PeerMessage NegativeTime;
    wire::LessorCession Cession;
    Cession.targets.emplace_back().remainingUseMicroseconds = -1;
    NegativeTime.__set_lessorCession(Cession);
    wire::PeerMessage Valid;
    Valid.__set_lessorInquiry({});
    struct Case {
      std::string Payload;
      PeerRejection Expected;
      std::string Text;
    };
    const Case Table[] = {
        {"", PeerRejection::Truncated, "empty"},
        {std::string(1401, '\0'), PeerRejection::TooLarge, "1401"},
        {compact(UnknownState), PeerRejection::Malformed, "unknown entry state 3"},
        {compact(TwoMessages), PeerRejection::Malformed, "found 2"},
        {compact({}), PeerRejection::Malformed, "found 0"},
        {compact(NegativeTime), PeerRejection::Malformed, "negative"},
        {compact(Valid) + "x", PeerRejection::Malformed, "1 bytes after"},
        // A release with 2^31 - 1 claims in nine bytes.
        {std::string("\x4c\x19\xfc\xff\xff\xff\xff\x07\x00", 9), PeerRejection::Malformed, "size"},
    };
    for (const Case &Each : Table) {
      const auto Result = PeerCodec().decode(Each.Payload, Sender, Run);
      const auto *Error = std::get_if<PeerError>(&Result);
      CPPUNIT_ASSERT_MESSAGE(Each.Text, Error);
      CPPUNIT_ASSERT_MESSAGE(Error->Message, Error->Reason == Each.Expected);
      CPPUNIT_ASSERT_MESSAGE(Error->Message, Error->Message.find(Each.Text) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);
