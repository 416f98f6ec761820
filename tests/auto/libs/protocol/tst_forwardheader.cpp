#include "Property.h"
#include "protocol/ForwardHeader.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

class ForwardHeaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardHeaderTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(malformedValues);
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
