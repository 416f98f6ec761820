#include "Property.h"
#include "state/Endpoint.h"

using namespace anvilsaddle;

class EndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointTest);
  CPPUNIT_TEST(invalidTextsAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against malformed addresses from other programs that are accepted as destinations.
  void invalidTextsAreRejected() {
    const std::pair<const char *, std::optional<Endpoint>> Table[] = {
        {"10.1.0.9:8080", Endpoint{"10.1.0.9", 8080}},
        {"10.1.0.9:0", {}},
        {"10.1.0.9:65536", {}},
        {"10.1.0.9:80x", {}},
        {"10.1.0.9:", {}},
        {"10.1.0.9", {}},
        {"10.1.0:80", {}},
        {"host:80", {}},
        {"", {}},
    };
    for (const auto &[Text, Expected] : Table) {
      CPPUNIT_ASSERT_MESSAGE(Text, parseEndpoint(Text) == Expected);
      if (Expected) {
        CPPUNIT_ASSERT_EQUAL(std::string(Text), toString(*Expected));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);
