#include "Property.h"
#include "protocol/HttpMessage.h"

using namespace anvilsaddle;

class HttpMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpMessageTest);
  CPPUNIT_TEST(fieldLookup);
  CPPUNIT_TEST(hopByHopFieldsAreRemoved);
  CPPUNIT_TEST(serializedHeads);
  CPPUNIT_TEST(queryParameters);
  CPPUNIT_TEST_SUITE_END();

public:
  void fieldLookup() {
    const FieldList Fields = {{"Host", "a"}, {"X-One", "1"}, {"x-one", "2"}};
    const std::pair<const char *, std::string_view> Table[] = {
        {"host", "a"}, {"X-ONE", "1"}, {"X-Two", ""}, {"", ""}};
    for (const auto &[Name, Expected] : Table) {
      CPPUNIT_ASSERT_MESSAGE(Name, findField(Fields, Name) == Expected);
    }
  }

  /// Guards against hop-by-hop header fields that are forwarded to the next connection, including
  /// those that frame the body.
  void hopByHopFieldsAreRemoved() {
    const FieldList Fields = {{"Host", "a"},           {"Connection", "X-Private, keep-alive"},
                              {"X-Private", "secret"}, {"Keep-Alive", "timeout=5"},
                              {"TE", "trailers"},      {"Transfer-Encoding", "chunked"},
                              {"Content-Length", "3"}, {"Upgrade", "h2c"},
                              {"X-Public", "1"}};
    const FieldList Expected = {{"Host", "a"}, {"X-Public", "1"}};
    CPPUNIT_ASSERT(endToEndFields(Fields) == Expected);
  }

  /// Guards against messages whose end the receiver determines differently.
  void serializedHeads() {
    struct Case {
      const char *Name;
      std::string Text;
      std::string Expected;
    };
    RequestHead Post{"POST", "/a?b=c", false, true, {{"Host", "h"}}};
    RequestHead Get{"GET", "/", false, true, {}};
    ResponseHead WithLength;
    WithLength.Status = 200;
    WithLength.Reason = "OK";
    WithLength.Length = 3;
    ResponseHead Chunked;
    Chunked.Status = 200;
    Chunked.Reason = "OK";
    Chunked.Framing = BodyFraming::Chunked;
    const Case Table[] = {
        {"post", writeRequestHead(Post, 5),
         "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"},
        {"empty post", writeRequestHead(Post, 0),
         "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
        {"get", writeRequestHead(Get, 0), "GET / HTTP/1.1\r\n\r\n"},
        {"response", writeResponseHead(WithLength, false),
         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"},
        {"chunked", writeResponseHead(Chunked, true),
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"},
        {"chunk", writeChunk("hello world, 17.."), "11\r\nhello world, 17..\r\n"},
    };
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Each.Text);
    }
  }

  void queryParameters() {
    struct Case {
      const char *RequestTarget;
      const char *Name;
      const char *Expected;
    };
    const Case Table[] = {
        {"/p?a=1&b=2", "b", "2"}, {"/p?a=1%202", "a", "1 2"},
        {"/p?a=", "a", ""},       {"/p?b=1", "a", ""},
        {"/p", "a", ""},          {"/p?a=%zz", "a", ""},
    };
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.RequestTarget, std::string(Each.Expected),
                                   queryParameter(Each.RequestTarget, Each.Name));
    }
    CPPUNIT_ASSERT(pathWithoutQuery("/p/q?a=/r") == "/p/q");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpMessageTest);
