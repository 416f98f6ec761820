#include "Property.h"
#include "loadtool/AddressAnswer.h"
#include "loadtool/AnswerCache.h"

#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

class AddressAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressAnswerTest);
  CPPUNIT_TEST(parsesAnswers);
  CPPUNIT_TEST(splitsEntries);
  CPPUNIT_TEST(formsKeys);
  CPPUNIT_TEST(asksBeforeExpiry);
  CPPUNIT_TEST(asksAnotherAfterFailure);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a load tool that sends to addresses it was not given.
  void parsesAnswers() {
    struct Case {
      const char *Body;
      bool Valid;
    };
    const Case Table[] = {
        {R"({"entries":["a:1","b:2"],"keep_ms":2000,"ticket":"t"})", true},
        {R"({"entries":["a:1"],"keep_ms":2000})", true},
        {R"({"entries":[],"keep_ms":2000})", false},
        {R"({"entries":[1],"keep_ms":2000})", false},
        {R"({"entries":["a:1"]})", false},
        {R"({"entries":["a:1"],"keep_ms":)", false},
        {"[]", false},
    };
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Body, Each.Valid,
                                   parseAddressAnswer(Each.Body).has_value());
    }
    const AddressAnswer Expected{{"a:1", "b:2"}, 2000ms, "t"};
    CPPUNIT_ASSERT(*parseAddressAnswer(Table[0].Body) == Expected);
  }

  /// Guards against a refusal that can't be followed.
  void splitsEntries() {
    CPPUNIT_ASSERT(splitEntries("").empty());
    const std::vector<std::string> One{"a:1"};
    CPPUNIT_ASSERT(splitEntries("a:1") == One);
    const std::vector<std::string> Two{"a:1", "b:2"};
    CPPUNIT_ASSERT(splitEntries("a:1, b:2") == Two);
    CPPUNIT_ASSERT(splitEntries(" a:1,,b:2,") == Two);
  }

  /// Guards against two requests under one key, which the entry would take for a repeat.
  void formsKeys() {
    CPPUNIT_ASSERT_EQUAL(std::string("t.1-23"), formKey("t", 1, 23));
    checkProperty("keys differ unless ticket, seed and number are equal",
                  [](std::uint8_t Seed, std::uint8_t Number, std::uint8_t OtherSeed,
                     std::uint8_t OtherNumber) {
                    const bool Same = Seed == OtherSeed && Number == OtherNumber;
                    RC_ASSERT(Same ==
                              (formKey("t", Seed, Number) == formKey("t", OtherSeed, OtherNumber)));
                  });
  }

  /// Guards against an expired answer in use, and against a question for each request.
  void asksBeforeExpiry() {
    AnswerCache Cache({"a:1"});
    const TimePoint Start{};
    CPPUNIT_ASSERT(!Cache.hasAnswer());
    CPPUNIT_ASSERT(Cache.shouldAsk(Start));
    CPPUNIT_ASSERT_EQUAL(std::string("a:1"), Cache.beginAsk());
    CPPUNIT_ASSERT(!Cache.shouldAsk(Start + 1h));
    Cache.onAnswer({{"b:2", "a:1"}, 2000ms, "t"}, Start);
    CPPUNIT_ASSERT(!Cache.shouldAsk(Start + 1499ms));
    CPPUNIT_ASSERT(Cache.shouldAsk(Start + 1500ms));
    CPPUNIT_ASSERT(!Cache.isExpired(Start + 1999ms));
    CPPUNIT_ASSERT(Cache.isExpired(Start + 2000ms));
    CPPUNIT_ASSERT_EQUAL(std::string("b:2"), Cache.best());
    CPPUNIT_ASSERT_EQUAL(std::string("a:1"), Cache.issuer());
    CPPUNIT_ASSERT_EQUAL(std::string("b:2"), Cache.alternative("a:1"));
    CPPUNIT_ASSERT_EQUAL(std::string("a:1"), Cache.alternative("b:2"));
  }

  /// Guards against a caller that asks a dead entry for ever.
  void asksAnotherAfterFailure() {
    AnswerCache Cache({"a:1"});
    const TimePoint Start{};
    Cache.beginAsk();
    Cache.onAnswer({{"a:1", "b:2"}, 2000ms, "t"}, Start);
    CPPUNIT_ASSERT_EQUAL(std::string("a:1"), Cache.beginAsk());
    Cache.onAskFailed(Start + 2s);
    CPPUNIT_ASSERT(!Cache.shouldAsk(Start + 2s));
    CPPUNIT_ASSERT(Cache.shouldAsk(Start + 2s + 100ms));
    CPPUNIT_ASSERT_EQUAL(std::string("b:2"), Cache.beginAsk());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the issuer changes with the answer, not with the question",
                                 std::string("a:1"), Cache.issuer());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressAnswerTest);
