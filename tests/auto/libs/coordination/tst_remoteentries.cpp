#include "Property.h"
#include "coordination/dispatch/RemoteEntries.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};
const RegionName FirstRegion("b");
const RegionName SecondRegion("c");
const ServiceName BoardService("board");
const ServiceName BookService("book");

RemoteEntries::EntriesByRegion makeFleet() {
  RemoteEntries::EntriesByRegion Result;
  for (const RegionName &Region : {FirstRegion, SecondRegion}) {
    for (int Index = 1; Index <= 20; ++Index) {
      Result[Region].push_back({Region.str() + std::to_string(Index), 7200});
    }
  }
  return Result;
}

} // namespace

class RemoteEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemoteEntriesTest);
  CPPUNIT_TEST(allowedRegionsAreUsed);
  CPPUNIT_TEST(refusingRegionsAreSkipped);
  CPPUNIT_TEST(loadIsSpread);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against forwarding to a region that must not serve the request, and against connections
  /// to more entries than necessary.
  void allowedRegionsAreUsed() {
    RemoteEntries Remote("10.1.0.1");
    CPPUNIT_ASSERT(!Remote.choose({FirstRegion}, BoardService, 0.5, Start));
    Remote.setReadyEntries(makeFleet());
    CPPUNIT_ASSERT(!Remote.choose({}, BoardService, 0.5, Start));
    CPPUNIT_ASSERT(!Remote.choose({RegionName("d")}, BoardService, 0.5, Start));
    std::set<std::string> ChosenAddresses;
    for (const double RandomValue : {0.0, 0.3, 0.6, 0.99}) {
      ChosenAddresses.insert(
          Remote.choose({SecondRegion}, BoardService, RandomValue, Start)->Address);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ChosenAddresses.size());
    for (const std::string &Each : ChosenAddresses) {
      CPPUNIT_ASSERT(Each.starts_with(SecondRegion.str()));
    }
  }

  /// Guards against requests that are repeatedly forwarded to a region at capacity, and against a
  /// region that is skipped for all services or permanently.
  void refusingRegionsAreSkipped() {
    RemoteEntries Remote("10.1.0.1");
    Remote.setReadyEntries(makeFleet());
    const Endpoint RefusingEntry = *Remote.choose({FirstRegion}, BoardService, 0, Start);
    Remote.onRefused(RefusingEntry, BoardService, Start);
    CPPUNIT_ASSERT(!Remote.choose({FirstRegion}, BoardService, 0.9, Start + 200ms));
    CPPUNIT_ASSERT(
        Remote.choose({FirstRegion, SecondRegion}, BoardService, 0, Start + 200ms)->Address[0] ==
        'c');
    CPPUNIT_ASSERT(Remote.choose({FirstRegion}, BookService, 0, Start + 200ms));
    CPPUNIT_ASSERT(Remote.choose({FirstRegion}, BoardService, 0, Start + 300ms));
  }

  /// Guards against a few entries that receive the forwarded requests of all others.
  void loadIsSpread() {
    std::map<std::string, int> UserCounts;
    for (int Index = 0; Index < 200; ++Index) {
      RemoteEntries Remote("10.1.0." + std::to_string(Index));
      Remote.setReadyEntries(makeFleet());
      ++UserCounts[Remote.choose({FirstRegion}, BoardService, 0, Start)->Address];
    }
    for (const auto &[Address, Count] : UserCounts) {
      CPPUNIT_ASSERT_MESSAGE(Address, Count <= 30);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemoteEntriesTest);
