#include "Property.h"
#include "coordination/publications/ConfigurationHistory.h"

#include <algorithm>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

Route makeRoute(const std::string &Name, double Weight = 1) {
  Route Result;
  Result.Name = RouteName(Name);
  Result.Host = Name + ".example";
  Result.PathPrefix = "/";
  Result.Services = {{ServiceName("board"), Weight}};
  return Result;
}

Configuration makeConfiguration(std::uint64_t Version, std::vector<Route> Routes) {
  Configuration Result;
  Result.Version = Version;
  Result.Routes = std::move(Routes);
  Result.Services[ServiceName("board")] = {ServiceName("board"), "/health", 3};
  Result.Limits.IdleTimeout = std::chrono::seconds(Version);
  return Result;
}

void addCustomer(Configuration &To, const std::string &Name, double RequestsPerSecond = 1) {
  Customer Added;
  Added.Name = CustomerName(Name);
  Added.Keys = {ApiKeyDigest{static_cast<std::uint8_t>(Name.front())}};
  Added.RequestsPerSecond = RequestsPerSecond;
  To.Customers[Added.Name] = Added;
}

Configuration sorted(Configuration Value) {
  std::sort(Value.Routes.begin(), Value.Routes.end());
  return Value;
}

} // namespace

class ConfigurationHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationHistoryTest);
  CPPUNIT_TEST(deltas);
  CPPUNIT_TEST(deltasLeadToTheCurrentVersion);
  CPPUNIT_TEST(unknownBases);
  CPPUNIT_TEST(customers);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against sending unchanged routes, and against a change that is left out.
  void deltas() {
    struct Case {
      const char *Name;
      std::vector<Route> Newer;
      std::size_t Changed;
      std::size_t Removed;
    };
    const Case Table[] = {
        {"nothing", {makeRoute("a"), makeRoute("b")}, 0, 0},
        {"weight", {makeRoute("a"), makeRoute("b", 2)}, 1, 0},
        {"added", {makeRoute("a"), makeRoute("b"), makeRoute("c")}, 1, 0},
        {"removed", {makeRoute("b")}, 0, 1},
        {"replaced", {makeRoute("a", 2), makeRoute("c")}, 2, 1},
    };
    const Configuration Old = makeConfiguration(3, {makeRoute("a"), makeRoute("b")});
    for (const Case &Each : Table) {
      const Configuration Newer = makeConfiguration(7, Each.Newer);
      ConfigurationHistory History;
      History.onConfiguration(&Old, Newer);
      const auto Delta = History.deltaSince(3, Newer);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Delta);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Changed, Delta->ChangedRoutes.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Removed, Delta->RemovedRoutes.size());
      const auto Applied = applyDelta(Old, *Delta);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Applied);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, sorted(*Applied) == sorted(Newer));
    }
  }

  /// Guards against routes that come back, stay or get lost when an entry missed several versions.
  void deltasLeadToTheCurrentVersion() {
    const bool IsCorrect = rc::check([] {
      const auto Length = *rc::gen::inRange<std::uint64_t>(1, 40);
      std::vector<Configuration> Versions;
      ConfigurationHistory History;
      for (std::uint64_t Version = 1; Version <= Length; ++Version) {
        std::vector<Route> Routes;
        for (const char Name : {'a', 'b', 'c', 'd', 'e', 'f'}) {
          const auto Weight = *rc::gen::inRange(0, 3);
          if (Weight > 0) {
            Routes.push_back(makeRoute(std::string(1, Name), Weight));
          }
        }
        Configuration Newer = makeConfiguration(Version, Routes);
        for (const char Name : {'x', 'y', 'z'}) {
          if (const auto Rate = *rc::gen::inRange(0, 3); Rate > 0) {
            addCustomer(Newer, std::string(1, Name), Rate);
          }
        }
        History.onConfiguration(Versions.empty() ? nullptr : &Versions.back(), Newer);
        Versions.push_back(Newer);
      }
      const Configuration &Current = Versions.back();
      for (const Configuration &Base : Versions) {
        const std::size_t Behind = Current.Version - Base.Version;
        const auto Delta = History.deltaSince(Base.Version, Current);
        RC_ASSERT(Behind > 0 || Delta->ChangedRoutes.empty());
        RC_ASSERT(Delta.has_value() == (Behind <= ConfigurationHistory::MaxRetainedChanges));
        if (Delta) {
          RC_ASSERT(sorted(*applyDelta(Base, *Delta)) == sorted(Current));
        }
      }
    });
    CPPUNIT_ASSERT(IsCorrect);
  }

  /// Guards against sending all customers with each change, and against a revoked key or a removed
  /// customer that stays valid.
  void customers() {
    Configuration Old = makeConfiguration(3, {makeRoute("a")});
    addCustomer(Old, "kept");
    addCustomer(Old, "revoked");
    addCustomer(Old, "gone");
    Configuration Newer = makeConfiguration(7, {makeRoute("a")});
    addCustomer(Newer, "kept");
    addCustomer(Newer, "revoked");
    Newer.Customers[CustomerName("revoked")].Keys.clear();
    addCustomer(Newer, "added");
    ConfigurationHistory History;
    History.onConfiguration(&Old, Newer);
    const auto Delta = History.deltaSince(3, Newer);
    CPPUNIT_ASSERT(Delta && Delta->ChangedRoutes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Delta->ChangedCustomers.size());
    CPPUNIT_ASSERT(Delta->RemovedCustomers == std::vector{CustomerName("gone")});
    CPPUNIT_ASSERT(applyDelta(Old, *Delta) == Newer);
    Configuration Open = makeConfiguration(8, {makeRoute("a")});
    History.onConfiguration(&Newer, Open);
    CPPUNIT_ASSERT(applyDelta(Old, *History.deltaSince(3, Open)) == Open);
  }

  /// Guards against a delta that is applied to another version than the one it was made for.
  void unknownBases() {
    const Configuration First = makeConfiguration(1, {makeRoute("a")});
    const Configuration Second = makeConfiguration(2, {makeRoute("a"), makeRoute("a", 2)});
    const Configuration Third = makeConfiguration(5, {makeRoute("a", 3)});
    ConfigurationHistory History;
    History.onConfiguration(nullptr, First);
    CPPUNIT_ASSERT(!History.deltaSince(0, First));
    CPPUNIT_ASSERT(!History.deltaSince(2, First));
    History.onConfiguration(&First, Second);
    CPPUNIT_ASSERT_MESSAGE("names are not unique", !History.deltaSince(1, Second));
    History.onConfiguration(&Second, Third);
    CPPUNIT_ASSERT(!History.deltaSince(2, Third));
    CPPUNIT_ASSERT(!applyDelta(Second, ConfigurationDelta{1, 5, {}, {}, {}, {}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationHistoryTest);
