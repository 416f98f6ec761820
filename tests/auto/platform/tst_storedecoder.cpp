#include "Property.h"
#include "platform/StoreDecoder.h"
#include "protocol/ApiKey.h"

using namespace anvilsaddle;
using namespace anvilsaddle::platform;
using namespace std::chrono_literals;

namespace {

const char *const GoodTarget =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"kaskelen","version":"v1",)"
    R"("slots":3,"state":"ready","coldRemainingS":1.5,"sequence":4,"born":1700000000123})";

/// Returns a configuration with two routes and the given field `tenants`.
std::string withCustomers(const std::string &Customers) {
  return R"({"version":"1f","routes":{"columns":["name","host","pathPrefix","kind","service",)"
         R"("public"],"rows":[["r-1","h","/x/","safe","s",true],["r-2","h","/y/","safe","s",null]]},)"
         R"("services":{"columns":["name"],"rows":[["s"]]},"tenants":)" +
         Customers + "}";
}

std::string withCustomerRow(const std::string &Row) {
  return withCustomers(R"({"columns":["name","apiKeys","priority","requestsPerS","burst",)"
                       R"("allowedRegions"],"rows":[)" +
                       Row + "]}");
}

const char *const GoodConfiguration =
    R"({"version":"0000001f","routes":{"columns":["name","host","pathPrefix","kind","timeoutS",)"
    R"("targetLatencyS","priority","service","attempts","allowedRegions","trafficSplit"],"rows":[)"
    R"(["r-1","h.example","/x/","unsafe",2.5,0.5,1,"wuno96b",2,["zhetysu"],null],)"
    R"(["r-2","h.example","/y/","download",2,0.4,2,null,3,[],)"
    R"([{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}]]]},)"
    R"("services":{"columns":["name","healthCheckPath","coldPerS"],"rows":[["wuno96b","/health",4.0]]},)"
    R"("limits":{"headerBytes":16384,"bodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15}})";

} // namespace

class StoreDecoderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreDecoderTest);
  CPPUNIT_TEST(pages);
  CPPUNIT_TEST(validTargets);
  CPPUNIT_TEST(invalidTargets);
  CPPUNIT_TEST(sequencesOfTargets);
  CPPUNIT_TEST(configurations);
  CPPUNIT_TEST(customers);
  CPPUNIT_TEST(invalidCustomers);
  CPPUNIT_TEST(otherItems);
  CPPUNIT_TEST(arbitraryBytesAreHandled);
  CPPUNIT_TEST_SUITE_END();

public:
  void pages() {
    const auto Range = std::get<StorePage>(
        readPage(R"({"items":[{"key":"a","value":"eHk=","revision":4,"created":4,"lease":0}],)"
                 R"("hasMore":true,"at":530})"));
    CPPUNIT_ASSERT(Range == (StorePage{{{"a", "xy"}}, true, 530}));
    const auto Watch = std::get<StorePage>(
        readPage(R"({"events":[{"key":"a","revision":5,"removed":true}],"at":531})"));
    CPPUNIT_ASSERT(Watch == (StorePage{{{"a", std::nullopt}}, false, 531}));
    for (const char *Bad :
         {"", "{}", R"({"items":[]})", R"({"items":[{"key":1}],"hasMore":true,"at":1})",
          R"({"items":7,"at":1})", R"({"items":{"a":{"key":"a"}},"at":1})",
          R"({"items":[],"at":1e300})", R"({"items":[],"at":-1})",
          R"({"items":[],"at":1,"hasMore":"no"})", "[]"}) {
      CPPUNIT_ASSERT_MESSAGE(Bad, std::holds_alternative<Diagnostic>(readPage(Bad)));
    }
  }

  void validTargets() {
    const auto Decoded = readItem({"servers/i-7f", GoodTarget});
    const Target &Value = std::get<TargetRegistered>(std::get<Publication>(Decoded)).Registration;
    CPPUNIT_ASSERT(Value == (Target{TargetName("i-7f"),
                                    ServiceName("huvo11a"),
                                    {"10.128.0.9", 8080},
                                    FailureDomainName("kaskelen"),
                                    3,
                                    false,
                                    1500ms,
                                    1700000000123,
                                    4}));
    const auto Removed = readItem({"servers/i-7f", std::nullopt});
    CPPUNIT_ASSERT(std::get<TargetRemoved>(std::get<Publication>(Removed)).Name ==
                   TargetName("i-7f"));
  }

  /// Guards against an item of another writer that is used as a target or prevents the use of the
  /// others.
  void invalidTargets() {
    const std::pair<std::string, std::string> Table[] = {
        {R"("state":"ready")", R"("state":"resting")"},
        {R"("state":"ready")", R"("state":7)"},
        {R"("address":"10.128.0.9:8080")", R"("address":"nowhere")"},
        {R"("address":"10.128.0.9:8080",)", ""},
        {R"("slots":3)", R"("slots":"3")"},
        {R"("slots":3)", R"("slots":-3)"},
        {R"("zone":"kaskelen",)", ""},
        {R"("service":"huvo11a")", R"("service":null)"},
        {R"("born":1700000000123)", R"("born":"yesterday")"},
        {R"({"service")", R"({{"service")"},
    };
    for (const auto &[Old, New] : Table) {
      std::string Text = GoodTarget;
      Text.replace(Text.find(Old), Old.size(), New);
      const auto Decoded = readItem({"servers/i-7f", Text});
      CPPUNIT_ASSERT_MESSAGE(Text, std::holds_alternative<Diagnostic>(Decoded));
      CPPUNIT_ASSERT_EQUAL(std::string("servers/i-7f"), std::get<Diagnostic>(Decoded).Path);
    }
    for (const char *Bad : {"", "7", "null", "[]", "\xff\xfe"}) {
      CPPUNIT_ASSERT(std::holds_alternative<Diagnostic>(readItem({"servers/i-7f", Bad})));
    }
    CPPUNIT_ASSERT(std::holds_alternative<Diagnostic>(readItem({"servers/", GoodTarget})));
  }

  /// Guards against registrations that are compared by a wrong number after the store returned from
  /// an older copy. An entry without a sequence was not written by a target.
  void sequencesOfTargets() {
    const std::pair<std::string, std::optional<std::int64_t>> Table[] = {
        {R"("sequence":4)", 4},
        {R"("sequence":0)", 0},
        {R"("sequence":9007199254740992)", std::int64_t{1} << 53},
        {R"("sequence":9223372036854775808)", std::nullopt},
        {R"("sequence":-4)", std::nullopt},
        {R"("sequence":1.5)", std::nullopt},
        {R"("sequence":"4")", std::nullopt},
        {R"("unknown":4)", std::nullopt},
    };
    for (const auto &[Field, Expected] : Table) {
      std::string Text = GoodTarget;
      Text.replace(Text.find(R"("sequence":4)"), 12, Field);
      const auto Decoded = readItem({"servers/i-7f", Text});
      const auto *Valid = std::get_if<Publication>(&Decoded);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Field, Expected.has_value(), Valid != nullptr);
      if (Valid) {
        const auto &Registered = std::get<TargetRegistered>(*Valid);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Field, *Expected, Registered.Registration.Sequence);
      }
    }
  }

  void configurations() {
    const auto Decoded = readItem({"op/config", GoodConfiguration});
    const auto &Settings = std::get<Configuration>(std::get<Publication>(Decoded));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{31}, Settings.Version);
    const Route First{RouteName("r-1"),
                      "h.example",
                      "/x/",
                      false,
                      2500ms,
                      500ms,
                      1,
                      2,
                      {{ServiceName("wuno96b"), 1}},
                      {RegionName("zhetysu")}};
    const Route Second{RouteName("r-2"),
                       "h.example",
                       "/y/",
                       true,
                       2s,
                       400ms,
                       2,
                       3,
                       {{ServiceName("huvo11a"), 90}, {ServiceName("kafi81c"), 10}},
                       {},
                       true};
    CPPUNIT_ASSERT(Settings.Routes == (std::vector<Route>{First, Second}));
    CPPUNIT_ASSERT(Settings.Services.at(ServiceName("wuno96b")) ==
                   (Service{ServiceName("wuno96b"), "/health", 4.0}));
    CPPUNIT_ASSERT(Settings.Limits == (CallerLimits{16384, 1000, 3s, 15s}));
    CPPUNIT_ASSERT(std::holds_alternative<Diagnostic>(readItem({"op/config", "{}"})));
  }

  /// Guards against keys and restrictions that are not taken over, and against a configuration
  /// without customers that is refused or needs keys.
  void customers() {
    const auto ReadCustomers = [](const std::string &Text) {
      return std::get<Configuration>(std::get<Publication>(readItem({"op/config", Text})));
    };
    const Configuration Settings = ReadCustomers(withCustomerRow(
        R"(["sese880",["63is47qdqiqrh4jcda9r","gy35ieispuxsr7i427ey"],1,90,45.5,["a","b"]],)"
        R"(["null",null,null,null,null,null],["short",[]])"));
    const Customer Full{CustomerName("sese880"),
                        {digestOf("63is47qdqiqrh4jcda9r"), digestOf("gy35ieispuxsr7i427ey")},
                        1,
                        {RegionName("a"), RegionName("b")},
                        90,
                        45.5};
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Settings.Customers.size());
    CPPUNIT_ASSERT(Settings.Customers.at(CustomerName("sese880")) == Full);
    for (const char *Name : {"null", "short"}) {
      Customer Expected;
      Expected.Name = CustomerName(Name);
      CPPUNIT_ASSERT(Settings.Customers.at(CustomerName(Name)) == Expected);
    }
    CPPUNIT_ASSERT(Settings.Routes[0].IsPublic && !Settings.Routes[1].IsPublic);
    CPPUNIT_ASSERT(ReadCustomers(withCustomers("null")).Customers.empty());
    CPPUNIT_ASSERT(ReadCustomers(GoodConfiguration).Customers.empty());
  }

  /// Guards against invalid customers, and against error texts that contain a key.
  void invalidCustomers() {
    const char *const Table[] = {R"([null,["secretkey"]])",
                                 R"(["",["secretkey"]])",
                                 R"([3,["secretkey"]])",
                                 R"(["t\r\nX: y",["secretkey"]])",
                                 R"(["t",["secretkey",3]])",
                                 R"(["t",["secretkey",""]])",
                                 R"(["t",["secretkey","secretkey "]])",
                                 R"(["t","secretkey"])",
                                 R"(["t",["secretkey"],-1])",
                                 R"(["t",["secretkey"],"secretkey"])",
                                 R"(["t",["secretkey"],1.5])",
                                 R"(["t",["secretkey"],1,-3])",
                                 R"(["t",["secretkey"],1,3,"secretkey"])",
                                 R"(["t",["secretkey"],1,3,4,[7]])",
                                 R"(["t",{"secretkey":1}])"};
    for (const char *Row : Table) {
      const auto Decoded = readItem({"op/config", withCustomerRow(Row)});
      CPPUNIT_ASSERT_MESSAGE(Row, std::holds_alternative<Diagnostic>(Decoded));
      CPPUNIT_ASSERT_MESSAGE(Row, std::get<Diagnostic>(Decoded).Message.find("secretkey") ==
                                      std::string::npos);
    }
    for (const char *Text : {"[]", "3", R"({"rows":[]})"}) {
      CPPUNIT_ASSERT_MESSAGE(
          Text, std::holds_alternative<Diagnostic>(readItem({"op/config", withCustomers(Text)})));
    }
  }

  void otherItems() {
    const auto Started = readItem({"op/evacuate/lenger", "{}"});
    CPPUNIT_ASSERT(std::get<DomainEvacuation>(std::get<Publication>(Started)) ==
                   (DomainEvacuation{FailureDomainName("lenger"), true}));
    const auto Ended = readItem({"op/evacuate/lenger", std::nullopt});
    CPPUNIT_ASSERT(!std::get<DomainEvacuation>(std::get<Publication>(Ended)).Active);
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(readItem({"my/leader", "x"})));
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(readItem({"op/config", std::nullopt})));
  }

  void arbitraryBytesAreHandled() {
    checkProperty("any item is decoded or rejected", [] {
      std::string Text = *rc::gen::element(std::string(GoodTarget), std::string(GoodConfiguration));
      for (int Change = *rc::gen::inRange(1, 4); Change > 0; --Change) {
        const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
        Text[Position] = *rc::gen::arbitrary<char>();
      }
      readItem({"servers/i", Text});
      readItem({"op/config", Text});
      readPage(Text);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreDecoderTest);
