#include "Property.h"
#include "coordination/RemoteEntries.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};
const RegionName First("b");
const RegionName Second("c");
const ServiceName Board("board");
const ServiceName Book("book");

RemoteEntries::EntriesByRegion fleet() {
  RemoteEntries::EntriesByRegion Result;
  for (const RegionName &Region : {First, Second}) {
    for (int Index = 1; Index <= 20; ++Index) {
      Result[Region].push_back({Region.str() + std::to_string(Index), 7200});
    }
  }
  return Result;
}

} // namespace

class RemoteEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemoteEntriesTest);
  CPPUNIT_TEST(choices);
  CPPUNIT_TEST(refusals);
  CPPUNIT_TEST(loadIsSpread);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against entries of a region that must not get the request, and against more connections
  /// than needed.
  void choices() {
    RemoteEntries Others("10.1.0.1");
    CPPUNIT_ASSERT(!Others.choose({First}, Board, 0.5, Start));
    Others.setReadyEntries(fleet());
    CPPUNIT_ASSERT(!Others.choose({}, Board, 0.5, Start));
    CPPUNIT_ASSERT(!Others.choose({RegionName("d")}, Board, 0.5, Start));
    std::set<std::string> Chosen;
    for (const double Draw : {0.0, 0.3, 0.6, 0.99}) {
      Chosen.insert(Others.choose({Second}, Board, Draw, Start)->Address);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Chosen.size());
    for (const std::string &Each : Chosen) {
      CPPUNIT_ASSERT(Each.starts_with(Second.str()));
    }
  }

  /// Guards against requests that are passed on to a full region again and again, and against a
  /// region that is passed over for all services or for good.
  void refusals() {
    RemoteEntries Others("10.1.0.1");
    Others.setReadyEntries(fleet());
    const Endpoint Full = *Others.choose({First}, Board, 0, Start);
    Others.onRefused(Full, Board, Start);
    CPPUNIT_ASSERT(!Others.choose({First}, Board, 0.9, Start + 200ms));
    CPPUNIT_ASSERT(Others.choose({First, Second}, Board, 0, Start + 200ms)->Address[0] == 'c');
    CPPUNIT_ASSERT(Others.choose({First}, Book, 0, Start + 200ms));
    CPPUNIT_ASSERT(Others.choose({First}, Board, 0, Start + 300ms));
  }

  /// Guards against a few entries that get the requests of all others.
  void loadIsSpread() {
    std::map<std::string, int> Users;
    for (int Index = 0; Index < 200; ++Index) {
      RemoteEntries Others("10.1.0." + std::to_string(Index));
      Others.setReadyEntries(fleet());
      ++Users[Others.choose({First}, Board, 0, Start)->Address];
    }
    for (const auto &[Address, Count] : Users) {
      CPPUNIT_ASSERT_MESSAGE(Address, Count <= 30);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemoteEntriesTest);
