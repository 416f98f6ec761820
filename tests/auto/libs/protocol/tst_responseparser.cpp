#include "Property.h"
#include "protocol/ResponseParser.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

using namespace anvilsaddle;

namespace {

/// Returns `status body`, prefixed with `!` after an error or `?` if more bytes are needed, and
/// followed by `+` if the connection can be reused.
std::string parseResponse(const std::string &Text, bool IsClosed, bool IsResponseToHead = false) {
  ResponseParser Parser(IsResponseToHead);
  Parser.add(Text);
  if (IsClosed) {
    Parser.addEndOfStream(StreamEnd::Closed);
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

struct ParsedResponse {
  int Status = 0;
  std::string Body;
  bool IsComplete = false;
  bool HasFailed = false;

  auto operator<=>(const ParsedResponse &) const = default;
};

/// Parses a response that arrives in parts, after which the connection is closed.
ParsedResponse parseParts(const std::vector<std::string> &Parts) {
  ResponseParser Parser(false);
  ParsedResponse Result;
  const auto Parse = [&] {
    if (!Parser.parseHead()) {
      return;
    }
    std::size_t Size = 0;
    do {
      Size = Result.Body.size();
      Parser.parseBody(Result.Body);
    } while (Result.Body.size() > Size);
  };
  for (const std::string &Each : Parts) {
    Parser.add(Each);
    Parse();
  }
  Parser.addEndOfStream(StreamEnd::Closed);
  Parse();
  Result.HasFailed = !Parser.error().empty();
  Result.IsComplete = !Result.HasFailed && Parser.isComplete();
  Result.Status = Result.IsComplete ? Parser.head().Status : 0;
  return Result;
}

/// Cuts the text at the given places, as far as they are within the text.
std::vector<std::string> cut(const std::string &Text, std::vector<std::uint8_t> Places) {
  std::sort(Places.begin(), Places.end());
  std::vector<std::string> Result;
  std::size_t Begin = 0;
  for (const std::size_t Place : Places) {
    const std::size_t End = std::min(Place, Text.size());
    Result.push_back(Text.substr(Begin, End - Begin));
    Begin = End;
  }
  Result.push_back(Text.substr(Begin));
  return Result;
}

/// Complete responses whose end is marked, so that a connection that ends before breaks them off.
const std::vector<std::string> &delimitedResponses() {
  static const std::string Ok = "HTTP/1.1 200 OK\r\n";
  static const std::vector<std::string> Result = {
      Ok + "Content-Length: 5\r\n\r\nabcde",
      Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      Ok + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5;x=y\r\nabcde\r\n0\r\nT: v\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + Ok + "Content-Length: 2\r\nConnection: close\r\n\r\nok",
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nfull",
      "HTTP/1.1 204 No Content\r\n\r\n",
  };
  return Result;
}

} // namespace

class ResponseParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseParserTest);
  CPPUNIT_TEST(partsWithoutEnd);
  CPPUNIT_TEST(sizesOfParts);
  CPPUNIT_TEST(announcedSizes);
  CPPUNIT_TEST(responses);
  CPPUNIT_TEST(malformedHeads);
  CPPUNIT_TEST(takeNextKeepsBytes);
  CPPUNIT_TEST(responsesThatBreakOffAreIncomplete);
  CPPUNIT_TEST(anySplitGivesTheSameResponse);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a response of a target in trouble that reaches the caller although its head
  /// does not follow the grammar, so that nobody knows which of its parts can be trusted.
  void malformedHeads() {
    struct Case {
      const char *Name;
      std::string Head;
      bool IsValid;
    };
    using namespace std::string_literals;
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const Case Table[] = {
        {"plain", Ok + "A: b\r\n", true},
        {"no blank behind the status", "HTTP/1.1 200\r\nA: b\r\n", false},
        {"empty reason", "HTTP/1.1 200 \r\nA: b\r\n", true},
        {"tab and bytes above 0x7F in a value", Ok + "A: b\tc \xC3\xA4\r\n", true},
        {"all marks of a token", Ok + "!#$%&'*+-.^_`|~: b\r\n", true},
        {"status 000", "HTTP/1.1 000 OK\r\n", false},
        {"status 099", "HTTP/1.1 099 OK\r\n", false},
        {"status 600", "HTTP/1.1 600 OK\r\n", false},
        {"status 999", "HTTP/1.1 999 OK\r\n", false},
        {"status 1000", "HTTP/1.1 1000 OK\r\n", false},
        {"status 20", "HTTP/1.1 20 OK\r\n", false},
        {"status 2x0", "HTTP/1.1 2x0 OK\r\n", false},
        {"status -20", "HTTP/1.1 -20 OK\r\n", false},
        {"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n", false},
        {"blank in a name", Ok + "A b: c\r\n", false},
        {"blank before the colon", Ok + "A : b\r\n", false},
        {"tab in a name", Ok + "A\tb: c\r\n", false},
        {"byte 0x01 in a name", Ok + "A\x01: b\r\n", false},
        {"byte 0x00 in a name", Ok + "A\0: b\r\n"s, false},
        {"byte 0x7F in a name", Ok + "A\x7F: b\r\n", false},
        {"byte 0x80 in a name", Ok + "A\x80: b\r\n", false},
        {"empty name", Ok + ": b\r\n", false},
        {"no colon", Ok + "A\r\n", false},
        {"byte 0x01 in a value", Ok + "A: \x01\r\n", false},
        {"byte 0x00 in a value", Ok + "A: b\0c\r\n"s, false},
        {"return in a value", Ok + "A: b\rc\r\n", false},
        {"line feed alone", Ok + "A: b\nC: d\r\n", false},
        {"continued by a blank", Ok + "A: b\r\n c\r\n", false},
        {"continued by a tab", Ok + "A: b\r\n\tc\r\n", false},
        {"continued status line", Ok + " A: b\r\n", false},
        {"in an interim response", "HTTP/1.1 100 Continue\r\nA : b\r\n\r\n" + Ok, false},
        {"behind an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + Ok + "A : b\r\n", false},
    };
    for (const Case &Each : Table) {
      const std::string Response = Each.Head + "Content-Length: 2\r\n\r\nok";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.IsValid ? "200 ok+" : "!"),
                                   parseResponse(Response, false));
      std::vector<std::string> Bytes;
      for (const char Byte : Response) {
        Bytes.emplace_back(1, Byte);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, !Each.IsValid, parseParts(Bytes).HasFailed);
    }
  }

  /// Guards against a target that exhausts the memory by a part of a response which never ends.
  void partsWithoutEnd() {
    const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case {
      const char *Name;
      std::string Start;
      std::string Repeated;
    };
    const Case Table[] = {
        {"status line", "HTTP/1.1 200 ", "x"},
        {"header field", "HTTP/1.1 200 OK\r\nA: ", "x"},
        {"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"field of an interim response", "HTTP/1.1 103 Early Hints\r\nA: ", "x"},
        {"chunk size", Chunked, "0"},
        {"chunk extension", Chunked + "1;a=", "x"},
        {"later chunk extension", Chunked + "1\r\na\r\n1;a=", "x"},
        {"trailer field", Chunked + "1\r\na\r\n0\r\nA: ", "x"},
        {"trailer fields", Chunked + "0\r\n", "A: b\r\n"},
    };
    constexpr std::size_t MaxPartBytes = 65536;
    for (const Case &Each : Table) {
      for (const std::size_t RepeatsPerBlock : {100, 20000}) {
        std::string Block;
        for (std::size_t Count = 0; Count < RepeatsPerBlock; ++Count) {
          Block += Each.Repeated;
        }
        ResponseParser Parser(false);
        Parser.add(Each.Start);
        std::size_t Added = Each.Start.size();
        while (Parser.error().empty() && !Parser.isComplete() && Added < 10 * MaxPartBytes) {
          Parser.add(Block);
          Added += Block.size();
          if (Parser.parseHead()) {
            std::string Body;
            Parser.parseBody(Body);
          }
        }
        CPPUNIT_ASSERT_MESSAGE(Each.Name, !Parser.error().empty());
        CPPUNIT_ASSERT_MESSAGE(Each.Name, Added <= 2 * MaxPartBytes + Block.size());
      }
    }
  }

  /// Guards against a response of a target in trouble that ends the process: a part that is longer
  /// than the HTTP library can store threw std::length_error in a callback of the main loop. The
  /// result must not depend on the reads by which the part arrives either.
  void sizesOfParts() {
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
    struct Case {
      const char *Name;
      std::string Start;
      std::string End;
      bool IsComplete;
    };
    const Case Table[] = {
        {"trailer value", Chunked + "2\r\nok\r\n0\r\nA: ", "\r\n\r\n", true},
        {"trailer name", Chunked + "2\r\nok\r\n0\r\nA", ": b\r\n\r\n", true},
        {"trailer without a body", Chunked + "0\r\nA: ", "\r\n\r\n", true},
        {"extension of a chunk", Chunked + "2;a=", "\r\nok\r\n0\r\n\r\n", true},
        {"extension of the last chunk", Chunked + "2\r\nok\r\n0;a=", "\r\n\r\n", true},
        {"field value", Ok + "Content-Length: 2\r\nA: ", "\r\n\r\nok", true},
        {"field name", Ok + "Content-Length: 2\r\nA", ": b\r\n\r\nok", true},
        {"reason", "HTTP/1.1 200 ", "\r\nContent-Length: 2\r\n\r\nok", true},
        {"field of an interim response",
         "HTTP/1.1 103 Early Hints\r\nA: ", "\r\n\r\n" + Ok + "Content-Length: 2\r\n\r\nok", true},
        {"value of Connection", Ok + "Content-Length: 2\r\nConnection: ", "\r\n\r\nok", true},
        {"value of Content-Length", Ok + "Content-Length: 2", "\r\n\r\nok", false},
    };
    // Around the limits of a part and of 16 bits.
    const std::pair<std::size_t, bool> Sizes[] = {{60000, true},  {65600, false}, {65533, false},
                                                  {65534, false}, {65537, false}, {131072, false},
                                                  {200000, false}};
    for (const Case &Each : Table) {
      for (const auto &[Size, IsWithinLimit] : Sizes) {
        const std::string Text = Each.Start + std::string(Size, 'x') + Each.End;
        for (const std::size_t BytesPerRead :
             {std::size_t{1000}, std::size_t{65536}, Text.size()}) {
          std::vector<std::string> Reads;
          for (std::size_t At = 0; At < Text.size(); At += BytesPerRead) {
            Reads.push_back(Text.substr(At, BytesPerRead));
          }
          const ParsedResponse Result = parseParts(Reads);
          const std::string Name = Each.Name + (", " + std::to_string(Size)) +
                                   " bytes in reads of " + std::to_string(BytesPerRead);
          const bool IsComplete = Each.IsComplete && IsWithinLimit;
          CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, IsComplete, Result.IsComplete);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, !IsComplete, Result.HasFailed);
        }
      }
    }
  }

  /// Guards against lengths near the largest numbers that end the process, or that are taken for
  /// small ones.
  void announcedSizes() {
    struct Case {
      std::string Size;
      std::string Hexadecimal;
      bool IsValid;
    };
    const Case Table[] = {
        {"9223372036854775807", "7fffffffffffffff", true},
        {"9223372036854775808", "8000000000000000", true},
        {"18446744073709551615", "ffffffffffffffff", true},
        {"18446744073709551616", "10000000000000000", false},
    };
    for (const Case &Each : Table) {
      const std::string Ok = "HTTP/1.1 200 OK\r\n";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Each.Size, std::string(Each.IsValid ? "?200 ok" : "!"),
          parseResponse(Ok + "Content-Length: " + Each.Size + "\r\n\r\nok", false));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Each.Hexadecimal, std::string(Each.IsValid ? "?200 ok" : "!200 "),
          parseResponse(Ok + "Transfer-Encoding: chunked\r\n\r\n" + Each.Hexadecimal + "\r\nok",
                        false));
    }
  }

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

  /// Guards against a response that breaks off in its head, body, chunk or trailer and reaches the
  /// caller as a complete one: each response is cut at each byte.
  void responsesThatBreakOffAreIncomplete() {
    for (const std::string &Each : delimitedResponses()) {
      CPPUNIT_ASSERT_MESSAGE(Each, parseParts({Each}).IsComplete);
      for (std::size_t Length = 0; Length < Each.size(); ++Length) {
        const ParsedResponse Result = parseParts({Each.substr(0, Length)});
        CPPUNIT_ASSERT_MESSAGE(Each.substr(0, Length), Result.HasFailed && !Result.IsComplete);
      }
    }
  }

  /// Guards against responses whose end or content depends on how the bytes arrive, and against
  /// bytes that end the process: any response, also with a byte replaced, is parsed the same in any
  /// parts.
  void anySplitGivesTheSameResponse() {
    checkProperty("the parts make no difference",
                  [](std::uint16_t Position, char Replacement, bool IsReplaced,
                     const std::vector<std::uint8_t> &Places) {
                    std::string Text = *rc::gen::elementOf(delimitedResponses());
                    if (IsReplaced) {
                      Text[Position % Text.size()] = Replacement;
                    }
                    RC_ASSERT(parseParts({Text}) == parseParts(cut(Text, Places)));
                  });
    checkProperty("arbitrary bytes are parsed or rejected",
                  [](const std::vector<std::string> &Parts) { parseParts(Parts); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseParserTest);
