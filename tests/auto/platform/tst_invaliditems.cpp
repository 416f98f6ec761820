#include "Property.h"
#include "platform/StoreDecoder.h"

#include <string>
#include <utility>
#include <vector>

#include <glib.h>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;
using namespace std::chrono_literals;

namespace {

const std::string GoodTarget =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"kaskelen","version":"v1",)"
    R"("slots":3,"state":"ready","coldRemainingS":1.5,"sequence":4,"born":1700000000123})";

const std::string GoodConfiguration =
    R"({"version":"0000001f","routes":{"columns":["name","host","pathPrefix","kind","timeoutS",)"
    R"("targetLatencyS","priority","service","attempts","allowedRegions","trafficSplit"],"rows":[)"
    R"(["r-1","h.example","/x/","unsafe",2.5,0.5,1,"wuno96b",2,["zhetysu"],null],)"
    R"(["r-2","h.example","/y/","download",2,0.4,2,null,3,[],)"
    R"([{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}]]]},)"
    R"("services":{"columns":["name","healthCheckPath","coldPerS"],"rows":[["wuno96b","/health",4.0]]},)"
    R"("limits":{"headerBytes":16384,"bodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15}})";

/// Half of the longest value that the store accepts, so that the closing brackets fit too.
constexpr std::size_t DeepLevels = 500'000;

std::string deepArray(std::size_t Levels = DeepLevels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

std::string deepObject(std::size_t Levels) {
  std::string Result;
  for (std::size_t Level = 0; Level < Levels; ++Level) {
    Result += R"({"a":)";
  }
  return Result + "1" + std::string(Levels, '}');
}

std::string replaced(std::string Text, const std::string &Old, const std::string &New) {
  return Text.replace(Text.find(Old), Old.size(), New);
}

/// Returns a JSON string with the Base64 encoding of a text.
std::string encoded(const std::string &Text) {
  gchar *Encoded = g_base64_encode(reinterpret_cast<const guchar *>(Text.data()), Text.size());
  std::string Result = std::string("\"") + Encoded + "\"";
  g_free(Encoded);
  return Result;
}

/// Returns a valid JSON value with at most the given number of levels. Call it inside a property.
std::string arbitraryJson(int MaxLevels) {
  std::string Scalar = *rc::gen::element<std::string>(
      "null", "true", "0", "-0.0", "-1", "65536", "1e300", "-1e300", "1.5", "9223372036854775808",
      "18446744073709551616", R"("")", R"("ready")", R"("10.0.0.1:65536")", R"("\u0000\r\n")",
      R"("\udc80")", "\"\xff\xfe\"", R"("servers/i")");
  if (MaxLevels <= 1) {
    return Scalar;
  }
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    return "[" + arbitraryJson(MaxLevels - 1) + "," + Scalar + "]";
  case 1:
    return R"({"key":)" + arbitraryJson(MaxLevels - 1) + R"(,"removed":)" + Scalar + "}";
  case 2:
    return deepArray(static_cast<std::size_t>(*rc::gen::inRange(1, 100)));
  default:
    return Scalar;
  }
}

/// Replaces the value of a field of a valid item, or some of its bytes. Call it inside a property.
std::string arbitraryItemText() {
  std::string Text = *rc::gen::element(GoodTarget, GoodConfiguration);
  if (*rc::gen::arbitrary<bool>()) {
    const std::string Value = *rc::gen::element<std::string>(
        "1.5", "3", "4", "1700000000123", R"("ready")", R"("v1")", R"("huvo11a")", "16384", "90");
    if (Text.find(Value) != std::string::npos) {
      Text = replaced(Text, Value, arbitraryJson(40));
    }
    return Text;
  }
  for (int Change = *rc::gen::inRange(1, 4); Change > 0; --Change) {
    const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Position] = *rc::gen::arbitrary<char>();
  }
  return Text;
}

} // namespace

class InvalidItemsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InvalidItemsTest);
  CPPUNIT_TEST(deeplyNestedItemsAreRejected);
  CPPUNIT_TEST(invalidTargetFieldsAreRejected);
  CPPUNIT_TEST(invalidTargetNamesAreRejected);
  CPPUNIT_TEST(unusualTargetsAreAccepted);
  CPPUNIT_TEST(invalidConfigurationsAreRejected);
  CPPUNIT_TEST(invalidElementsLeaveTheOthersOfThePage);
  CPPUNIT_TEST(arbitraryItemsAreHandled);
  CPPUNIT_TEST(arbitraryElementsLeaveTheOthersOfThePage);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a stack overflow when values are copied that another writer nested deeply.
  void deeplyNestedItemsAreRejected() {
    const std::string Deep = deepArray();
    const std::pair<const char *, std::string> Table[] = {
        {"servers/i", Deep},
        {"servers/i", std::string(2 * DeepLevels, '[')},
        {"servers/i", deepObject(100'000)},
        {"servers/i", replaced(GoodTarget, "1.5", Deep)},
        {"servers/i", replaced(GoodTarget, "1.5", deepObject(100'000))},
        {"servers/i", replaced(GoodTarget, R"("huvo11a")", Deep)},
        {"servers/i", replaced(GoodTarget, R"("born")", R"("other":)" + Deep + R"(,"born")")},
        {"op/config", replaced(GoodConfiguration, R"("wuno96b",2)", R"("wuno96b",)" + Deep)},
        {"op/config", replaced(GoodConfiguration, R"(["zhetysu"])", Deep)},
        {"op/config", replaced(GoodConfiguration, "16384", Deep)},
        {"op/config", replaced(GoodConfiguration, R"("weight":90)", R"("weight":)" + Deep)},
    };
    for (const auto &[Key, Text] : Table) {
      checkInvalid(Key, Text);
    }
  }

  /// Guards against a target with wrong data, and against undefined conversions, when another
  /// writer omits a field or gives it another type or a value out of range.
  void invalidTargetFieldsAreRejected() {
    struct Case {
      std::string Old;
      std::vector<std::string> Values;
    };
    const std::string TooLong = '"' + std::string(300, 'a') + '"';
    const Case Table[] = {
        {R"("coldRemainingS":1.5)", {"1e300", "-1e300", "1e18", "-5", R"("x")", "true", "null"}},
        {R"("slots":3)",
         {"0", "-1", "2.7", "100001", "4294967297", "18446744073709551615", "1e300", R"("3")",
          "null", "true"}},
        {R"("born":1700000000123)",
         {"-1", "1.5", "1e300", "9223372036854775808", "99999999999999999999", R"("x")", "null"}},
        {R"("sequence":4)", {"-1", "1.5", "1e300", "18446744073709551615", R"("4")", "null"}},
        {R"("version":"v1")", {"1", "null", "{}"}},
        {R"("zone":"kaskelen")", {"1", "null", R"("")", R"("a\r\nb")", TooLong}},
        {R"("service":"huvo11a")", {"1", "[]", R"("")", R"("a\u0000b")", TooLong}},
        {R"("state":"ready")", {"1", R"("")", R"("Ready")", R"("gone")"}},
        {R"("address":"10.128.0.9:8080")",
         {R"("10.128.0.9:0")", R"("10.128.0.9:65536")", R"("10.128.0.9:-1")",
          R"("10.128.0.9:99999999999")", R"("10.128.0.9")", R"("10.128.0.9\u0000x:8080")", "8080",
          R"({"host":"10.128.0.9"})"}},
    };
    for (const auto &[Old, Values] : Table) {
      const std::string Name = Old.substr(0, Old.find(':') + 1);
      for (const std::string &Value : Values) {
        checkInvalid("servers/i", replaced(GoodTarget, Old, Name + Value));
      }
      if (Name != R"("born":)") {
        checkInvalid("servers/i", replaced(GoodTarget, Old, R"("other":1)"));
      }
    }
  }

  /// Guards against a key that adds header fields to the requests to a target.
  void invalidTargetNamesAreRejected() {
    for (const std::string &Name :
         {std::string(), std::string("i\r\nX: y"), std::string("i\0", 2), std::string(256, 'i')}) {
      checkInvalid("servers/" + Name, GoodTarget);
    }
  }

  /// Guards against the rejection of targets that another writer describes in a valid way.
  void unusualTargetsAreAccepted() {
    const std::pair<std::string, std::string> Table[] = {
        {"1.5", "0"},
        {"1.5", "3600"},
        {R"("slots":3)", R"("slots":3.0)"},
        {R"("born":1700000000123)", R"("other":1)"},
        {R"("born")", R"("other":)" + deepArray(5) + R"(,"born")"},
    };
    for (const auto &[Old, New] : Table) {
      const std::string Text = replaced(GoodTarget, Old, New);
      CPPUNIT_ASSERT_MESSAGE(Text,
                             std::holds_alternative<Publication>(readItem({"servers/i", Text})));
    }
  }

  /// Guards against an invalid configuration that replaces the one in force.
  void invalidConfigurationsAreRejected() {
    const std::pair<std::string, std::string> Table[] = {
        {R"("0000001f")", "31"},
        {R"("0000001f")", R"("newest")"},
        {R"("0000001f")", R"("11111111111111111")"},
        {R"("unsafe",2.5)", R"("unsafe",1e300)"},
        {R"("unsafe",2.5)", R"("unsafe","2")"},
        {R"(0.5,1,)", R"(-0.5,1,)"},
        {R"(0.5,1,)", R"(0.5,-1,)"},
        {R"("wuno96b",2)", R"("wuno96b",1e30)"},
        {R"("weight":90)", R"("weight":-90)"},
        {R"("weight":90)", R"("weight":1e300)"},
        {R"(4.0)", R"("4")"},
        {R"(4.0)", R"(-4)"},
        {R"("headerBytes":16384)", R"("headerBytes":-1)"},
        {R"("bodyBytes":1000)", R"("bodyBytes":1e300)"},
        {R"("headerTimeoutS":3)", R"("headerTimeoutS":1e300)"},
        {R"("idleTimeoutS":15)", R"("idleTimeoutS":null)"},
    };
    for (const auto &[Old, New] : Table) {
      checkInvalid("op/config", replaced(GoodConfiguration, Old, New));
    }
  }

  /// Guards against a client that reads the same page again and again, and no longer follows the
  /// store, because one element of the page is invalid.
  void invalidElementsLeaveTheOthersOfThePage() {
    struct Case {
      std::string Element;
      std::vector<StoreItem> Items;
      std::size_t Problems;
    };
    const std::vector<StoreItem> Unreadable = {{"servers/i", ""}};
    const Case Table[] = {
        {"7", {}, 1},
        {"null", {}, 1},
        {"[]", {}, 1},
        {"{}", {}, 1},
        {R"({"key":1,"value":"e30="})", {}, 1},
        {R"({"key":null,"value":"e30="})", {}, 1},
        {R"({"value":"e30="})", {}, 1},
        {"{\"key\":\"servers/\xff\xfe\",\"value\":\"e30=\"}", {}, 1},
        {R"({"key":"servers/\ufffd","value":"e30="})", {}, 1},
        {R"({"key":"servers/\udc80","value":"e30="})", {}, 1},
        {R"({"key":"servers/\ud83d","value":"e30="})", {}, 1},
        {R"({"key":"servers/\ud83d\u0041","value":"e30="})", {}, 1},
        {R"({"key":"servers/\ud83d\ud83d\ude00","value":"e30="})", {}, 1},
        {R"({"key":"servers/\uDC80\uD83D","value":"e30="})", {}, 1},
        {R"({"key":"servers/\x80","value":"e30="})", {}, 1},
        {R"({"key":"servers/\u12","value":"e30="})", {}, 1},
        {"{\"key\":\"servers/\x01\",\"value\":\"e30=\"}", {}, 1},
        {R"({"key":"servers/i","value":"\udc80"})", Unreadable, 0},
        {R"({"key":"servers/i","value":"e30=","lease":"\udc80\\"})", {{"servers/i", "{}"}}, 0},
        {R"({"key":"servers/i\ud83d\ude00","value":"e30="})",
         {{"servers/i\xF0\x9F\x98\x80", "{}"}},
         0},
        {R"({"key":"servers/\\udc80","value":"e30=","lease":"\udc80"})",
         {{"servers/\\udc80", "{}"}},
         0},
        {R"({"key":)" + deepArray() + "}", {}, 1},
        {R"({"key":"servers/i"})", Unreadable, 0},
        {R"({"key":"servers/i","value":7})", Unreadable, 0},
        {R"({"key":"servers/i","value":null})", Unreadable, 0},
        {R"({"key":"servers/i","value":"?e30="})", Unreadable, 0},
        {R"({"key":"servers/i","value":"e3"})", Unreadable, 0},
        {R"({"key":"servers/i","value":"e==="})", Unreadable, 0},
        {R"({"key":"servers/i","value":"e30=","removed":"yes"})", {{"servers/i", "{}"}}, 0},
        {R"({"key":"servers/i","value":)" + deepArray() + "}", Unreadable, 0},
        {R"({"key":"servers/i","value":"e30=","lease":)" + deepArray() + "}",
         {{"servers/i", "{}"}},
         0},
    };
    for (const Case &Each : Table) {
      for (const char *List : {"items", "events"}) {
        const std::string Text = std::string("{\"") + List + R"(":[{"key":"a","value":"eHk="},)" +
                                 Each.Element + R"(,{"key":"b","removed":true}],"at":9})";
        std::vector<StoreItem> Expected = Each.Items;
        Expected.insert(Expected.begin(), {"a", "xy"});
        Expected.push_back({"b", std::nullopt});
        const auto Decoded = readPage(Text);
        const auto *Page = std::get_if<StorePage>(&Decoded);
        CPPUNIT_ASSERT_MESSAGE(Text.substr(0, 200), Page);
        CPPUNIT_ASSERT_MESSAGE(Text.substr(0, 200), Page->Items == Expected);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Text.substr(0, 200), Each.Problems, Page->Problems.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, Page->Revision);
      }
    }
  }

  /// Guards against crashes and against targets with invalid data.
  void arbitraryItemsAreHandled() {
    checkProperty("an item is rejected or yields valid data", [] {
      const std::string Text = arbitraryItemText();
      readItem({"op/config", Text});
      readItem({"op/evacuate/a", Text});
      const auto Decoded = readItem({"servers/i", Text});
      if (const auto *Change = std::get_if<Publication>(&Decoded)) {
        const Target &Value = std::get<TargetRegistered>(*Change).Registration;
        RC_ASSERT(parseEndpoint(toString(Value.Address)) == Value.Address);
        RC_ASSERT(Value.Slots >= 1U && Value.Slots <= 100'000U);
        RC_ASSERT(Value.RemainingColdTime >= 0s && Value.RemainingColdTime <= 24h);
        RC_ASSERT(Value.StartedUnixMilliseconds >= 0);
      }
    });
  }

  /// Guards against an element that makes its page unreadable.
  void arbitraryElementsLeaveTheOthersOfThePage() {
    checkProperty("the other items of a page hold", [] {
      const std::string Key = *rc::gen::element<std::string>(
          R"("servers/i")", R"("op/config")", R"("servers/")", R"("")", arbitraryJson(4));
      const std::string Value =
          *rc::gen::element(encoded(arbitraryItemText()), arbitraryJson(4), arbitraryJson(40));
      const std::string Element =
          *rc::gen::element(R"({"key":)" + Key + R"(,"value":)" + Value + "}", arbitraryJson(4));
      const std::string Good = R"({"key":"servers/good","value":)" + encoded(GoodTarget) + "}";
      const auto Decoded =
          readPage(R"({"items":[)" + Good + "," + Element + "," + Good + R"(],"at":9})");
      const auto &Page = std::get<StorePage>(Decoded);
      RC_ASSERT(Page.Items.size() + Page.Problems.size() == 3U);
      RC_ASSERT(Page.Items.front() == (StoreItem{"servers/good", GoodTarget}));
      RC_ASSERT(Page.Items.back() == Page.Items.front());
      for (const StoreItem &Item : Page.Items) {
        readItem(Item);
      }
    });
  }

private:
  static void checkInvalid(const std::string &Key, const std::string &Text) {
    const auto Decoded = readItem({Key, Text});
    CPPUNIT_ASSERT_MESSAGE(Key + " " + Text.substr(0, 400),
                           std::holds_alternative<Diagnostic>(Decoded));
    CPPUNIT_ASSERT_EQUAL(Key, std::get<Diagnostic>(Decoded).Path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidItemsTest);
