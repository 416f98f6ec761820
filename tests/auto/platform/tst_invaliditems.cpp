#include "Property.h"
#include "platform/StoreDecoder.h"

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

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

} // namespace

class InvalidItemsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InvalidItemsTest);
  CPPUNIT_TEST(deeplyNestedItemsAreRejected);
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
      const auto Decoded = readItem({Key, Text});
      CPPUNIT_ASSERT_MESSAGE(Text.substr(0, 200), std::holds_alternative<Diagnostic>(Decoded));
      CPPUNIT_ASSERT_EQUAL(std::string(Key), std::get<Diagnostic>(Decoded).Path);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidItemsTest);
