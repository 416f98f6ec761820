#include "Property.h"
#include "protocol/RequestParser.h"

using namespace anvilsaddle;

namespace {

using State = RequestParser::State;

/// Parses all complete requests. Returns them as `METHOD target body;`, followed by the error
/// status if there was an error.
std::string readAll(RequestParser &Parser) {
  std::string Result;
  while (true) {
    const State Now = Parser.parse();
    if (Now == State::Failed) {
      return Result + std::to_string(Parser.errorStatus());
    }
    if (Now == State::Incomplete) {
      return Result;
    }
    Result +=
        Parser.head().Method + " " + Parser.head().RequestTarget + " " + Parser.takeBody() + ";";
    Parser.next();
  }
}

} // namespace

class RequestParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestParserTest);
  CPPUNIT_TEST(requests);
  CPPUNIT_TEST(anySplitGivesTheSameRequests);
  CPPUNIT_TEST(partsWithoutEnd);
  CPPUNIT_TEST(sizesOfParts);
  CPPUNIT_TEST(headLimits);
  CPPUNIT_TEST(announcedSizes);
  CPPUNIT_TEST(parserStates);
  CPPUNIT_TEST(bodiesOfUnknownLengthAreNotCopied);
  CPPUNIT_TEST(bodiesInProgress);
  CPPUNIT_TEST(headsOfManyFieldsAreCounted);
  CPPUNIT_TEST(arbitraryBytesAreHandled);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against request smuggling, uploads whose end differs from what the caller meant, and
  /// requests beyond the limits. A malformed chunk was once taken for the end of an upload.
  void requests() {
    const std::string Head = "POST /u HTTP/1.1\r\nHost: h\r\n";
    const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> Table[] = {
        {"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
         "GET /a ;GET /b ;"},
        {Head + "Content-Length: 3\r\n\r\nabcGET /c HTTP/1.1\r\n\r\n", "POST /u abc;GET /c ;"},
        {Chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "POST /u abcde;"},
        {Chunked + "3;x=y\r\nabc\r\n0\r\n\r\n", "POST /u abc;"},
        {Chunked + "zz\r\nabc\r\n0\r\n\r\n", "400"},
        {Chunked + "3\r\nabcd\r\n0\r\n\r\n", "400"},
        {Chunked + "3\r\nab", ""},
        {Head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {Head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
        {Head + "Content-Length: 3, 4\r\n\r\nabcd", "400"},
        {Head + "Content-Length: x\r\n\r\nabc", "400"},
        {Head + "Content-Length: +3\r\n\r\nabc", "400"},
        {Head + "Content-Length: 99999999999999999999\r\n\r\nabc", "400"},
        {Head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
        {Head + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "501"},
        {Head + "Transfer-Encoding: CHUNKED\r\n\r\n1\r\na\r\n0\r\n\r\n", "POST /u a;"},
        {"GET /x\r\n\r\n", "400"},
        {Head + "Content-Length: -1\r\n\r\n", "400"},
        {Head + "Transfer-Encoding: gzip\r\n\r\n", "501"},
        {"GET http://h/a HTTP/1.1\r\n\r\n", "400"},
        {"nonsense\r\n\r\n", "400"},
        {"GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "431"},
        {Head + "Content-Length: 101\r\n\r\n" + std::string(101, 'x'), "413"},
        {Chunked + "65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n", "413"},
        {"GET /a HTTP/1.1\r\nHost: h\r\n", ""},
    };
    for (const auto &[Text, Expected] : Table) {
      RequestParser Parser({1000, 100});
      Parser.add(Text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, Expected, readAll(Parser));
    }
  }

  /// Guards against a body that is in memory twice while it grows: above 64 KB its bytes stay where
  /// they are, whatever follows.
  void bodiesOfUnknownLengthAreNotCopied() {
    RequestParser Parser({1000, 4 << 20});
    const std::string Block(65536, 'b');
    Parser.add("POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int Index = 0; Index < 64; ++Index) {
      Parser.add("10000\r\n" + Block + "\r\n");
      CPPUNIT_ASSERT(Parser.parse() == State::Incomplete);
    }
    Parser.add("0\r\n\r\n");
    CPPUNIT_ASSERT(Parser.parse() == State::Complete);
    const std::string Body = Parser.takeBody();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4} << 20, Body.size());
    CPPUNIT_ASSERT_EQUAL(Body.size(), Body.capacity());
  }

  /// Guards against reserving memory for a body by wrong figures.
  void bodiesInProgress() {
    RequestParser Parser({1000, 100});
    Parser.add("POST /u HTTP/1.1\r\nContent-Length: 10\r\n");
    Parser.parse();
    CPPUNIT_ASSERT(!Parser.isReceivingBody());
    Parser.add("\r\nabc");
    Parser.parse();
    CPPUNIT_ASSERT(Parser.isReceivingBody());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Parser.bodyBytes());
    CPPUNIT_ASSERT(Parser.announcedBodyBytes() == std::uint64_t{10});
    Parser.add("defghij");
    Parser.parse();
    CPPUNIT_ASSERT(!Parser.isReceivingBody());
    Parser.next();
    Parser.add("POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    Parser.parse();
    CPPUNIT_ASSERT(Parser.isReceivingBody());
    CPPUNIT_ASSERT(!Parser.announcedBodyBytes());
    Parser.discard();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Parser.bodyBytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Parser.buffered());
  }

  /// Guards against results that depend on how the bytes are split on arrival.
  void anySplitGivesTheSameRequests() {
    const std::string Text = "POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
                             "POST /c HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy";
    for (std::size_t First = 0; First < Text.size(); ++First) {
      for (std::size_t Second = First; Second < Text.size(); Second += 7) {
        RequestParser Parser({1000, 100});
        std::string Result;
        for (const auto &Part :
             {Text.substr(0, First), Text.substr(First, Second - First), Text.substr(Second)}) {
          Parser.add(Part);
          Result += readAll(Parser);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("POST /u abc;GET /b ;POST /c xy;"), Result);
      }
    }
  }

  /// Guards against heads of many short fields, which take many times their size, that count as
  /// little, also while they are incomplete.
  void headsOfManyFieldsAreCounted() {
    constexpr std::size_t FieldCount = 2000;
    const std::string Start = "GET / HTTP/1.1\r\n";
    std::string Fields;
    for (std::size_t Index = 0; Index < FieldCount; ++Index) {
      Fields += "a:b\r\n";
    }
    RequestParser Parser({});
    Parser.add(Start + Fields);
    CPPUNIT_ASSERT(Parser.parse() == State::Incomplete);
    CPPUNIT_ASSERT(Parser.headMemory() + Parser.bufferMemory() > 4 * Fields.size());
    Parser.add("\r\n");
    CPPUNIT_ASSERT(Parser.parse() == State::Complete);
    CPPUNIT_ASSERT(Parser.headMemory() > FieldCount * sizeof(FieldList::value_type));
    CPPUNIT_ASSERT_EQUAL(FieldCount, Parser.takeHead().Fields.size());
    Parser.next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Parser.headMemory());
    Parser.add(Start + Fields);
    Parser.parse();
    Parser.discard();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Parser.headMemory() + Parser.buffered());
  }

  /// Guards against a caller that exhausts the memory by a part of a request which never ends.
  void partsWithoutEnd() {
    const std::string Chunked = "POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case {
      const char *Name;
      std::string Start;
      std::string Repeated;
    };
    const Case Table[] = {
        {"request line", "GET /", "x"},
        {"header field", "GET / HTTP/1.1\r\nA: ", "x"},
        {"header fields", "GET / HTTP/1.1\r\n", "A: b\r\n"},
        {"chunk size", Chunked, "0"},
        {"chunk extension", Chunked + "1;a=", "x"},
        {"later chunk extension", Chunked + "1\r\na\r\n1;a=", "x"},
        {"trailer field", Chunked + "1\r\na\r\n0\r\nA: ", "x"},
        {"trailer fields", Chunked + "0\r\n", "A: b\r\n"},
    };
    constexpr std::size_t HeadBytes = 1000;
    for (const Case &Each : Table) {
      for (const std::size_t RepeatsPerBlock : {1, 7, 4000}) {
        std::string Block;
        for (std::size_t Count = 0; Count < RepeatsPerBlock; ++Count) {
          Block += Each.Repeated;
        }
        RequestParser Parser({HeadBytes, 100});
        Parser.add(Each.Start);
        std::size_t Added = Each.Start.size();
        while (Parser.parse() == State::Incomplete && Added < 100 * HeadBytes) {
          Parser.add(Block);
          Added += Block.size();
          CPPUNIT_ASSERT_MESSAGE(Each.Name, Parser.buffered() <= HeadBytes + Block.size());
        }
        CPPUNIT_ASSERT_MESSAGE(Each.Name, Parser.parse() == State::Failed);
        CPPUNIT_ASSERT_MESSAGE(Each.Name,
                               Parser.errorStatus() == 431 || Parser.errorStatus() == 400);
        CPPUNIT_ASSERT_MESSAGE(Each.Name, Added <= 2 * HeadBytes + Block.size());
      }
    }
  }

  /// Guards against a request that ends the process: a field that the limits allow, or a trailer
  /// that they don't, was longer than the HTTP library can store, which threw std::length_error in
  /// a callback of the main loop. What the limits allow is read, anything else gets status 431,
  /// however its bytes arrive.
  void sizesOfParts() {
    const std::string Line = "POST /u HTTP/1.1\r\n";
    const std::string Chunked = Line + "Transfer-Encoding: chunked\r\n\r\n";
    struct Case {
      const char *Name;
      std::string Start;
      std::string End;
      std::string Expected;
    };
    const Case Table[] = {
        {"field value", Line + "A: ", "\r\n\r\n", "POST /u ;"},
        {"field name", Line + "A", ": b\r\n\r\n", "POST /u ;"},
        {"value of Connection", Line + "Connection: ", "\r\n\r\n", "POST /u ;"},
        {"value of Expect", Line + "Expect: ", "\r\nContent-Length: 1\r\n\r\na", "POST /u a;"},
        {"method", "POST", " /u HTTP/1.1\r\n\r\n", "POST* /u ;"},
        {"request target", "POST /u", " HTTP/1.1\r\n\r\n", "POST /u* ;"},
        {"trailer value", Chunked + "1\r\na\r\n0\r\nA: ", "\r\n\r\n", "POST /u a;"},
        {"trailer name", Chunked + "1\r\na\r\n0\r\nA", ": b\r\n\r\n", "POST /u a;"},
        {"extension of a chunk", Chunked + "1;a=", "\r\na\r\n0\r\n\r\n", "POST /u a;"},
        {"extension of a later chunk", Chunked + "1\r\na\r\n1;a=", "\r\nb\r\n0\r\n\r\n",
         "POST /u ab;"},
        {"extension of the last chunk", Chunked + "1\r\na\r\n0;a=", "\r\n\r\n", "POST /u a;"},
    };
    constexpr std::size_t DefaultHeadBytes = std::size_t{16} * 1024;
    constexpr std::size_t RaisedHeadBytes = std::size_t{128} * 1024;
    // Around the limits and 16 bits.
    const std::size_t Sizes[] = {12'000, 17'000, 65'533,  65'534,  65'535, 65'537,
                                 65'600, 70'000, 130'000, 132'000, 400'000};
    for (const Case &Each : Table) {
      for (const std::size_t HeadBytes : {DefaultHeadBytes, RaisedHeadBytes}) {
        for (const std::size_t Size : Sizes) {
          const std::string Long(Size, 'x');
          const std::string Text = Each.Start + Long + Each.End;
          std::string Expected = Size < HeadBytes ? Each.Expected : "431";
          if (const std::size_t Mark = Expected.find('*'); Mark != std::string::npos) {
            Expected.replace(Mark, 1, Long);
          }
          for (const std::size_t BytesPerRead :
               {std::size_t{7}, std::size_t{16'384}, Text.size()}) {
            RequestParser Parser({HeadBytes, 100});
            std::string Result;
            for (std::size_t At = 0; At < Text.size() && Result != "431"; At += BytesPerRead) {
              Parser.add(Text.substr(At, BytesPerRead));
              Result += readAll(Parser);
            }
            const std::string Name = Each.Name + (", " + std::to_string(Size)) + " of " +
                                     std::to_string(HeadBytes) + " bytes in reads of " +
                                     std::to_string(BytesPerRead);
            CPPUNIT_ASSERT_MESSAGE(Name + ": " + Result.substr(0, 30), Expected == Result);
          }
        }
      }
    }
  }

  /// Guards against a limit of the head that differs from the one in force: at the exact size, with
  /// values that don't fit into 32 bits, or for fields that arrive one by one.
  void headLimits() {
    struct Case {
      const char *Name;
      std::size_t HeadBytes;
      std::size_t FieldCount;
      std::size_t BytesPerRead;
      const char *Expected;
    };
    const std::string Start = "GET /a HTTP/1.1\r\n";
    const std::string Field = "ab: c\r\n";
    const std::size_t Fields = 100;
    const std::size_t Exact = Start.size() + Fields * Field.size() + 2;
    // Each read ends behind the first byte of the next field.
    const std::size_t OneField = Field.size();
    const Case Table[] = {
        {"exact", Exact, Fields, 10'000, "GET /a ;"},
        {"one byte less", Exact - 1, Fields, 10'000, "431"},
        {"exact, field by field", Exact, Fields, OneField, "GET /a ;"},
        {"one byte less, field by field", Exact - 1, Fields, OneField, "431"},
        {"without end, field by field", 1000, 5000, OneField, "431"},
        {"2^32", std::size_t{1} << 32, Fields, 10'000, "GET /a ;"},
        {"2^40", std::size_t{1} << 40, Fields, 10'000, "GET /a ;"},
    };
    for (const Case &Each : Table) {
      std::string Text = Start;
      for (std::size_t Index = 0; Index < Each.FieldCount; ++Index) {
        Text += Field;
      }
      Text += "\r\n";
      RequestParser Parser({Each.HeadBytes, 100});
      std::string Result;
      Parser.add(Text.substr(0, Start.size() + 1));
      Result += readAll(Parser);
      for (std::size_t At = Start.size() + 1; At < Text.size() && Result.empty();
           At += Each.BytesPerRead) {
        Parser.add(Text.substr(At, Each.BytesPerRead));
        Result += readAll(Parser);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.Expected), Result);
    }
  }

  /// Guards against lengths near the largest numbers that end the process, or that are taken for
  /// small ones.
  void announcedSizes() {
    struct Case {
      std::string Size;
      std::string Hexadecimal;
      const char *Expected;
      const char *ExpectedOfChunk;
    };
    const Case Table[] = {
        {"9223372036854775807", "7fffffffffffffff", "413", "413"},
        {"9223372036854775808", "8000000000000000", "413", "413"},
        {"18446744073709551615", "ffffffffffffffff", "413", "413"},
        {"18446744073709551616", "10000000000000000", "400", "400"},
    };
    const std::string Line = "POST /u HTTP/1.1\r\n";
    for (const Case &Each : Table) {
      RequestParser WithLength({1000, std::size_t{1} << 40});
      WithLength.add(Line + "Content-Length: " + Each.Size + "\r\n\r\nab");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Size, std::string(Each.Expected), readAll(WithLength));
      RequestParser InChunks({1000, std::size_t{1} << 40});
      InChunks.add(Line + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n" + Each.Hexadecimal +
                   "\r\nab");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Hexadecimal, std::string(Each.ExpectedOfChunk),
                                   readAll(InChunks));
    }
  }

  void parserStates() {
    RequestParser Parser({1000, 100});
    CPPUNIT_ASSERT(!Parser.isStarted());
    RequestParser Partial({1000, 100});
    Partial.add("GET /a HTTP/1.1\r\n");
    CPPUNIT_ASSERT(Partial.parse() == State::Incomplete && Partial.isStarted());
    Parser.add("POST /u HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CPPUNIT_ASSERT(Parser.parse() == State::Incomplete);
    CPPUNIT_ASSERT(Parser.isStarted() && Parser.awaitsContinue());
    Parser.add("ab");
    CPPUNIT_ASSERT(Parser.parse() == State::Complete && !Parser.awaitsContinue());
    Parser.next();
    CPPUNIT_ASSERT(!Parser.isStarted());
    Parser.add("GET / HTTP/1.0\r\n\r\n");
    CPPUNIT_ASSERT(Parser.parse() == State::Complete);
    CPPUNIT_ASSERT(Parser.head().IsHttp10 && !Parser.head().KeepAlive);
  }

  void arbitraryBytesAreHandled() {
    checkProperty("arbitrary bytes are parsed or rejected",
                  [](const std::vector<std::string> &Parts) {
                    RequestParser Parser({1000, 100});
                    for (const std::string &Part : Parts) {
                      Parser.add(Part);
                      readAll(Parser);
                    }
                  });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestParserTest);
