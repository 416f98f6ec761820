#include "Property.h"
#include "protocol/ForwardHeader.h"
#include "protocol/ForwardedCustomer.h"
#include "protocol/GlibMessageAuthenticator.h"
#include "protocol/RequestParser.h"

#include <cstddef>
#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

class ForwardHeaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardHeaderTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(malformedValues);
  CPPUNIT_TEST(headsAtTheLimitCanBeForwarded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against modified options, and against a header field that stays in the head and reaches
  /// a target.
  void roundTrip() {
    const ForwardOptions Table[] = {
        {1, false, 0ms}, {3, true, 1234ms, ServiceName("board")}, {100, false, 24h}};
    for (const ForwardOptions &Each : Table) {
      FieldList Fields = {{"Host", "h"},
                          {"anvilsaddle-forwarded", "9 9 9"},
                          {"anvilsaddle-forwarded-service", "other"}};
      writeForwardHeader(Fields, Each);
      CPPUNIT_ASSERT(takeForwardHeader(Fields) == Each);
      CPPUNIT_ASSERT((Fields == FieldList{{"Host", "h"}}));
    }
  }

  /// Guards against status 431 of another entry for a request that is within the limit: its head is
  /// longer by the fields that the first entry adds.
  void headsAtTheLimitCanBeForwarded() {
    constexpr std::size_t NameBytes = 200;
    const GlibMessageAuthenticator Authenticator("fleet key");
    for (const std::size_t HeadBytes : {std::size_t{16'384}, std::size_t{131'072}}) {
      CallerLimits Limits;
      Limits.HeadBytes = HeadBytes;
      RequestHead Head{"GET", "/x", false, true, {{"Host", "h"}, {"Cookie", ""}}};
      Head.Fields.back().second.assign(HeadBytes - writeRequestHead(Head, 0).size(), 'c');
      RequestParser First({Limits.HeadBytes, Limits.BodyBytes});
      First.add(writeRequestHead(Head, 0));
      CPPUNIT_ASSERT(First.parse() == RequestParser::State::Complete);
      writeForwardHeader(Head.Fields, {100, true, 24h, ServiceName(std::string(NameBytes, 's'))});
      for (const auto &Field :
           forwardedCustomerFields(Head, std::string(NameBytes, 'i'),
                                   CustomerName(std::string(NameBytes, 'n')), Authenticator)) {
        Head.Fields.push_back(Field);
      }
      const CallerLimits Raised = limitsOfForwardedRequests(Limits);
      RequestParser Second({Raised.HeadBytes, Raised.BodyBytes});
      Second.add(writeRequestHead(Head, 0));
      CPPUNIT_ASSERT(Second.parse() == RequestParser::State::Complete);
    }
  }

  /// Guards against requests that are forwarded from entry to entry because a malformed header
  /// field was accepted.
  void malformedValues() {
    for (const char *Each : {"", "1", "1 1", "1 1 1 1", "0 1 1", "101 1 1", "1 2 1", "1 1 -1",
                             "a b c", "1 1 1 ", " 1 1 1", "1  1 1", "1 1 99999999999999999999"}) {
      FieldList Fields = {{"Anvilsaddle-Forwarded", Each}};
      CPPUNIT_ASSERT_MESSAGE(Each, !takeForwardHeader(Fields));
      CPPUNIT_ASSERT(Fields.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardHeaderTest);
