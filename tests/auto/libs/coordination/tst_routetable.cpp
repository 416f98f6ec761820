#include "Property.h"
#include "coordination/dispatch/RouteTable.h"

using namespace anvilsaddle;

namespace {

Route makeRoute(const char *Name, const char *Host, const char *Prefix) {
  Route Result;
  Result.Name = RouteName(Name);
  Result.Host = Host;
  Result.PathPrefix = Prefix;
  return Result;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(longestPrefixMatches);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests that match the route of a different prefix or host.
  void longestPrefixMatches() {
    Configuration Config;
    Config.Routes = {makeRoute("root", "shop.example", "/"), makeRoute("a", "shop.example", "/a/"),
                     makeRoute("ab", "shop.example", "/a/b/"),
                     makeRoute("other", "lab.example", "/a/")};
    const RouteTable Routes(Config);
    struct Case {
      const char *Host;
      const char *Path;
      const char *Expected;
    };
    const Case Table[] = {
        {"shop.example", "/a/b/c", "ab"},
        {"shop.example", "/a/b/", "ab"},
        {"shop.example", "/a/b", "a"},
        {"shop.example", "/a/bc/d", "a"},
        {"shop.example", "/a", "root"},
        {"shop.example", "/x/a/", "root"},
        {"shop.example", "/a/?next=/a/b/", "a"},
        {"SHOP.example:8080", "/a/1", "a"},
        {"lab.example", "/a/1", "other"},
        {"lab.example", "/", nullptr},
        {"lab.example", "", nullptr},
        {"nobody.example", "/a/1", nullptr},
        {"", "/a/1", nullptr},
    };
    for (const Case &Each : Table) {
      const Route *Found = Routes.find(Each.Host, Each.Path);
      const std::string Name = std::string(Each.Host) + Each.Path;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Each.Expected != nullptr, Found != nullptr);
      if (Found) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::string(Each.Expected), Found->Name.str());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Routes.routesForHost("Shop.Example:1").size());
    CPPUNIT_ASSERT(Routes.routesForHost("nobody.example").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
