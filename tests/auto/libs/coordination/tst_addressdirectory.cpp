#include "Property.h"
#include "coordination/AddressDirectory.h"

using namespace anvilsaddle;

namespace {

MemberRecord entry(const char *Address, const char *Domain, EntryState State = EntryState::Ready) {
  return {Address, FailureDomainName(Domain), 1, 1, State};
}

std::string joined(const std::vector<std::string> &Texts) {
  std::string Result;
  for (const std::string &Each : Texts) {
    Result += Each;
  }
  return Result;
}

} // namespace

class AddressDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressDirectoryTest);
  CPPUNIT_TEST(answers);
  CPPUNIT_TEST(length);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against callers that are sent to entries that end, or far away without need.
  void answers() {
    Topology Places;
    Places.RegionByDomain = {{FailureDomainName("n1"), RegionName("n")},
                             {FailureDomainName("n2"), RegionName("n")},
                             {FailureDomainName("s1"), RegionName("s")},
                             {FailureDomainName("c1"), RegionName("c")}};
    Route Home;
    Home.HomeRegions = {RegionName("s")};
    const Route Anywhere;
    const auto Leaving = EntryState::Leaving;
    struct Case {
      const char *Name;
      std::vector<MemberRecord> Live;
      const Route *Choice;
      const char *Expected;
    };
    const Case Table[] = {
        {"own domain", {entry("a", "n1"), entry("b", "n1"), entry("c", "n2")}, &Anywhere, "ab"},
        {"one in the domain",
         {entry("a", "n1"), entry("c", "n2"), entry("s", "s1")},
         &Anywhere,
         "ac"},
        {"leaving",
         {entry("a", "n1"), entry("b", "n1", Leaving), entry("c", "n2")},
         &Anywhere,
         "ac"},
        {"starting", {entry("a", "n1", EntryState::Starting), entry("c", "n2")}, &Anywhere, "c"},
        {"region lost, no home", {entry("s", "s1"), entry("t", "c1")}, &Anywhere, "st"},
        {"region lost, home elsewhere", {entry("s", "s1"), entry("t", "c1")}, &Home, "s"},
        {"region and home lost", {entry("t", "c1")}, &Home, "t"},
        {"home, but the caller's region lives", {entry("a", "n1"), entry("s", "s1")}, &Home, "a"},
        {"none", {entry("a", "n1", Leaving)}, &Anywhere, ""},
    };
    for (const Case &Each : Table) {
      const auto Result = chooseEntryAddresses(Each.Live, Places, RegionName("n"),
                                               FailureDomainName("n1"), {Each.Choice});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(Each.Expected), joined(Result));
    }
  }

  /// Guards against answers that callers don't accept.
  void length() {
    Topology Places;
    Places.RegionByDomain = {{FailureDomainName("n1"), RegionName("n")}};
    const std::vector<MemberRecord> Many(100, entry("a", "n1"));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{64},
        chooseEntryAddresses(Many, Places, RegionName("n"), FailureDomainName("n1"), {}).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressDirectoryTest);
