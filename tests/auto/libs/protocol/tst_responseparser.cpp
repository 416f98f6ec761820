#include "Property.h"
#include "protocol/ResponseParser.h"

using namespace anvilsaddle;

namespace {

/// Returns `status body`, prefixed with `!` after an error or `?` if more bytes are needed, and
/// followed by `+` if the connection can be reused.
std::string parseResponse(const std::string &Text, bool IsClosed, bool IsResponseToHead = false) {
  ResponseParser Parser(IsResponseToHead);
  Parser.add(Text);
  if (IsClosed) {
    Parser.addEndOfStream();
  }
  if (!Parser.parseHead()) {
    return Parser.error().empty() ? "?" : "!";
  }
  std::string Body;
  Parser.parseBody(Body);
  const std::string Parsed = std::to_string(Parser.head().Status) + " " + Body;
  if (!Parser.error().empty()) {
    return "!" + Parsed;
  }
  if (!Parser.isComplete()) {
    return "?" + Parsed;
  }
  return Parser.isReusable() ? Parsed + "+" : Parsed;
}

} // namespace

class ResponseParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseParserTest);
  CPPUNIT_TEST(responses);
  CPPUNIT_TEST(takeNextKeepsBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against truncated responses that are taken for complete ones, and against reuse of
  /// connections on which unrelated bytes were received.
  void responses() {
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    struct Case {
      std::string Text;
      bool IsClosed;
      std::string Expected;
    };
    const Case Table[] = {
        {Ok + "Content-Length: 3\r\n\r\nabc", false, "200 abc+"},
        {Ok + "Content-Length: 3\r\n\r\nabcd", false, "200 abc"},
        {Ok + "Content-Length: 3\r\n\r\nab", false, "?200 ab"},
        {Ok + "Content-Length: 3\r\n\r\nab", true, "!200 ab"},
        {Ok + "Content-Length: 3\r\nConnection: close\r\n\r\nabc", false, "200 abc"},
        {Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, "200 abc+"},
        {Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true, "!200 abc"},
        {Ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", false, "!200 "},
        {Ok + "\r\nabc", false, "?200 abc"},
        {Ok + "\r\nabc", true, "200 abc"},
        {Ok, true, "!"},
        {"", true, "!"},
        {"garbage\r\n\r\n", false, "!"},
        {"HTTP/1.1 100 Continue\r\n\r\n" + Ok + "Content-Length: 1\r\n\r\nx", false, "200 x+"},
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", false, "!"},
        {"HTTP/1.1 204 No Content\r\n\r\n", false, "204 +"},
        {Ok + "Transfer-Encoding: gzip\r\n\r\n", false, "!"},
        {Ok + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", false, "!"},
    };
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Text, Each.Expected,
                                   parseResponse(Each.Text, Each.IsClosed));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("200 +"),
                         parseResponse(Ok + "Content-Length: 3\r\n\r\n", false, true));
  }

  /// Guards against the loss of a response that follows the response to another request.
  void takeNextKeepsBytes() {
    ResponseParser Parser(false);
    Parser.add("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 404 Not Found\r\n"
               "Content-Length: 1\r\n\r\nb");
    std::string Body;
    CPPUNIT_ASSERT(Parser.parseHead());
    Parser.parseBody(Body);
    CPPUNIT_ASSERT(Parser.isComplete());
    const auto Next = Parser.takeNext();
    CPPUNIT_ASSERT(Next->parseHead());
    Next->parseBody(Body);
    CPPUNIT_ASSERT_EQUAL(404, Next->head().Status);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Body);
    CPPUNIT_ASSERT(Next->isReusable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseParserTest);
