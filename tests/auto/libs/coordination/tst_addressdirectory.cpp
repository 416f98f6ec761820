#include "Property.h"
#include "coordination/membership/AddressDirectory.h"

using namespace anvilsaddle;

namespace {

EntryRecord makeEntry(const char *Address, const char *Domain,
                      EntryState State = EntryState::Ready) {
  return {Address, FailureDomainName(Domain), 1, 1, State};
}

std::string concatenate(const std::vector<std::string> &Texts) {
  std::string Result;
  for (const std::string &Each : Texts) {
    Result += Each;
  }
  return Result;
}

} // namespace

class AddressDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressDirectoryTest);
  CPPUNIT_TEST(closestEntriesAreChosen);
  CPPUNIT_TEST(addressCountIsLimited);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against callers that are directed to entries that shut down, or unnecessarily to
  /// another region.
  void closestEntriesAreChosen() {
    Topology FleetTopology;
    FleetTopology.RegionByDomain = {{FailureDomainName("n1"), RegionName("n")},
                                    {FailureDomainName("n2"), RegionName("n")},
                                    {FailureDomainName("s1"), RegionName("s")},
                                    {FailureDomainName("c1"), RegionName("c")}};
    Route HomeRoute;
    HomeRoute.HomeRegions = {RegionName("s")};
    const Route UnrestrictedRoute;
    const auto Leaving = EntryState::Leaving;
    struct Case {
      const char *Name;
      std::vector<EntryRecord> Live;
      const Route *HostRoute;
      const char *Expected;
    };
    const Case Table[] = {
        {"own domain",
         {makeEntry("a", "n1"), makeEntry("b", "n1"), makeEntry("c", "n2")},
         &UnrestrictedRoute,
         "ab"},
        {"single entry in the domain",
         {makeEntry("a", "n1"), makeEntry("c", "n2"), makeEntry("s", "s1")},
         &UnrestrictedRoute,
         "ac"},
        {"leaving",
         {makeEntry("a", "n1"), makeEntry("b", "n1", Leaving), makeEntry("c", "n2")},
         &UnrestrictedRoute,
         "ac"},
        {"starting",
         {makeEntry("a", "n1", EntryState::Starting), makeEntry("c", "n2")},
         &UnrestrictedRoute,
         "c"},
        {"region unavailable, no home region",
         {makeEntry("s", "s1"), makeEntry("t", "c1")},
         &UnrestrictedRoute,
         "st"},
        {"region unavailable, other home region",
         {makeEntry("s", "s1"), makeEntry("t", "c1")},
         &HomeRoute,
         "s"},
        {"region and home region unavailable", {makeEntry("t", "c1")}, &HomeRoute, "t"},
        {"other home region, but the caller's region is available",
         {makeEntry("a", "n1"), makeEntry("s", "s1")},
         &HomeRoute,
         "a"},
        {"none", {makeEntry("a", "n1", Leaving)}, &UnrestrictedRoute, ""},
    };
    for (const Case &Each : Table) {
      const auto Result = chooseEntryAddresses(Each.Live, FleetTopology, RegionName("n"),
                                               FailureDomainName("n1"), {Each.HostRoute});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.Expected), concatenate(Result));
    }
  }

  /// Guards against responses with more addresses than callers accept.
  void addressCountIsLimited() {
    Topology FleetTopology;
    FleetTopology.RegionByDomain = {{FailureDomainName("n1"), RegionName("n")}};
    const std::vector<EntryRecord> Many(100, makeEntry("a", "n1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, chooseEntryAddresses(Many, FleetTopology, RegionName("n"),
                                                               FailureDomainName("n1"), {})
                                              .size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressDirectoryTest);
