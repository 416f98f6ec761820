#include "Property.h"
#include "protocol/ResponseParser.h"

using namespace anvilsaddle;

namespace {

/// `status body`, with `!` in front of an error, `?` if more is needed, and `+` if the connection
/// may be used again.
std::string parseResponse(const std::string &Text, bool Ends, bool IsResponseToHead = false) {
  ResponseParser Parser(IsResponseToHead);
  Parser.add(Text);
  if (Ends) {
    Parser.addEndOfStream();
  }
  if (!Parser.parseHead()) {
    return Parser.error().empty() ? "?" : "!";
  }
  std::string Body;
  Parser.parseBody(Body);
  const std::string Seen = std::to_string(Parser.head().Status) + " " + Body;
  if (!Parser.error().empty()) {
    return "!" + Seen;
  }
  if (!Parser.isComplete()) {
    return "?" + Seen;
  }
  return Parser.isReusable() ? Seen + "+" : Seen;
}

} // namespace

class ResponseParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseParserTest);
  CPPUNIT_TEST(answers);
  CPPUNIT_TEST(next);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against answers that look complete though they broke off, and against connections that
  /// are used again with foreign bytes on them.
  void answers() {
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    struct Case {
      std::string Text;
      bool Ends;
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
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Text, Each.Expected, parseResponse(Each.Text, Each.Ends));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("200 +"),
                         parseResponse(Ok + "Content-Length: 3\r\n\r\n", false, true));
  }

  /// Guards against the loss of an answer that follows one that belongs to another request.
  void next() {
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
