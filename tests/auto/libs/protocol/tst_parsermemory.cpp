#include "AllocationLimit.h"
#include "protocol/RequestParser.h"
#include "protocol/ResponseParser.h"

#include <cstddef>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilsaddle;

namespace {

constexpr std::size_t MaxBytes = std::size_t{16} * 1024;

} // namespace

class ParserMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParserMemoryTest);
  CPPUNIT_TEST(requests);
  CPPUNIT_TEST(responses);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a caller that ends the process by a request for which no memory is to be had.
  void requests() {
    const std::string Long(20'000, 'x');
    const std::string Head = "POST /u HTTP/1.1\r\n";
    struct Case {
      const char *Name;
      std::string Text;
      int Status;
    };
    const Case Table[] = {
        {"field value", Head + "A: " + Long + "\r\n\r\n", 503},
        {"field name", Head + "A" + Long + ": b\r\n\r\n", 503},
        {"request target", "GET /" + Long + " HTTP/1.1\r\n\r\n", 503},
        {"body", Head + "Content-Length: 20000\r\n\r\n" + Long, 503},
        {"chunk", Head + "Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + Long + "\r\n", 503},
        {"body that has not arrived", Head + "Content-Length: 20000\r\n\r\nab", 0},
        {"trailer", Head + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: " + Long + "\r\n\r\n", 0},
    };
    for (const Case &Each : Table) {
      RequestParser Parser({std::size_t{64} * 1024, std::size_t{64} * 1024});
      Parser.add(Each.Text);
      RequestParser::State Result{};
      {
        const AllocationLimit Limit(MaxBytes);
        Result = Parser.parse();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Status == 503,
                                   Result == RequestParser::State::Failed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Status, Parser.errorStatus());
    }
  }

  /// Guards against a target that ends the process by a response for which no memory is to be had.
  void responses() {
    const std::string Long(20'000, 'x');
    const std::string Head = "HTTP/1.1 200 OK\r\n";
    struct Case {
      const char *Name;
      std::string Text;
    };
    const Case Table[] = {
        {"field value", Head + "A: " + Long + "\r\n\r\n"},
        {"field name", Head + "A" + Long + ": b\r\n\r\n"},
        {"reason", "HTTP/1.1 200 " + Long + "\r\n\r\n"},
        {"body", Head + "Content-Length: 20000\r\n\r\n" + Long},
        {"chunk", Head + "Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + Long + "\r\n"},
    };
    for (const Case &Each : Table) {
      ResponseParser Parser(false);
      Parser.add(Each.Text);
      const AllocationLimit Limit(MaxBytes);
      if (Parser.parseHead()) {
        std::string Body;
        Parser.parseBody(Body);
      }
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Parser.error().empty());
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Parser.isReusable());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParserMemoryTest);
