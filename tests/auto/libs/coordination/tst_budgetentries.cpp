#include "coordination/limits/BudgetEntries.h"

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 10s;
const TimePoint Start{100s};

/// Failure domains `a1`, `a2` in region `a` and `b1`, `b2` in region `b`.
Topology makeTopology() {
  Topology Result;
  for (const char *Domain : {"a1", "a2", "b1", "b2"}) {
    Result.RegionByDomain[FailureDomainName(Domain)] = RegionName(std::string(1, Domain[0]));
  }
  return Result;
}

/// Records of entries that are named after their failure domain and a digit.
std::vector<EntryRecord> records(const std::vector<std::string> &Names,
                                 EntryState State = EntryState::Ready) {
  std::vector<EntryRecord> Result;
  for (const std::string &Each : Names) {
    EntryRecord Record;
    Record.Address = Each;
    Record.Domain = FailureDomainName(Each.substr(0, 2));
    Record.State = State;
    Result.push_back(Record);
  }
  return Result;
}

const std::vector<std::string> Six = {"a1-0", "a1-1", "a2-0", "b1-0", "b1-1", "b2-0"};

} // namespace

class BudgetEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BudgetEntriesTest);
  CPPUNIT_TEST(sharesOfViews);
  CPPUNIT_TEST(keepsEntriesThatAreGone);
  CPPUNIT_TEST(waitsAgainAfterTheFleetWasUnknown);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a share that is too large because of what an entry has not heard of yet.
  void sharesOfViews() {
    struct Case {
      const char *Name;
      std::vector<std::string> Live;
      Duration Elapsed;
      RetryShare Expected;
    };
    const Case Table[] = {
        {"fleet", Six, Window, {6, RetryShareReason::KnownEntries}},
        {"fleet, first window", Six, Window - 1us, {6, RetryShareReason::JustStarted}},
        {"one of each region", {"a1-0", "b1-0"}, Window, {4, RetryShareReason::KnownEntries}},
        {"one region", {"a1-0", "a1-1", "a2-0"}, Window, {4, RetryShareReason::FleetUnknown}},
        {"alone", {"a1-0"}, Window, {4, RetryShareReason::FleetUnknown}},
    };
    for (const Case &Each : Table) {
      BudgetEntries Entries(makeTopology(), Window);
      Entries.setLive(records(Each.Live), Start);
      Entries.share(Start);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Entries.share(Start + Each.Elapsed) == Each.Expected);
    }
    Topology OneDomain;
    OneDomain.RegionByDomain[FailureDomainName("a1")] = RegionName("a");
    BudgetEntries OnlyEntry(OneDomain, Window);
    OnlyEntry.setLive(records({"a1-0"}), Start);
    OnlyEntry.share(Start);
    CPPUNIT_ASSERT(OnlyEntry.share(Start + Window) ==
                   (RetryShare{1, RetryShareReason::KnownEntries}));
  }

  /// Guards against shares that grow while entries that are out of sight use theirs.
  void keepsEntriesThatAreGone() {
    struct Case {
      const char *Name;
      EntryState LastState;
      Duration Elapsed;
      std::size_t Expected;
    };
    const Case Table[] = {
        {"silent", EntryState::Ready, BudgetEntries::Retention - 1us, 6},
        {"silent for long", EntryState::Ready, BudgetEntries::Retention, 5},
        {"announced its end", EntryState::Leaving, Window - 1us, 6},
        {"announced its end a window ago", EntryState::Leaving, Window, 5},
    };
    for (const Case &Each : Table) {
      BudgetEntries Entries(makeTopology(), Window);
      std::vector<EntryRecord> Live = records(Six);
      Live.back().State = Each.LastState;
      Entries.setLive(Live, Start);
      Live.pop_back();
      Entries.setLive(Live, Start);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected,
                                   Entries.share(Start + Each.Elapsed).EntryCount);
    }
  }

  /// Guards against a share at once for an entry that has missed what others did while it heard of
  /// none.
  void waitsAgainAfterTheFleetWasUnknown() {
    BudgetEntries Entries(makeTopology(), Window);
    TimePoint Now = Start;
    struct Case {
      std::vector<std::string> Live;
      Duration Elapsed;
      RetryShareReason Expected;
    };
    const Case Table[] = {
        {Six, 0s, RetryShareReason::JustStarted},
        {Six, Window, RetryShareReason::KnownEntries},
        {{"a1-0"}, 1s, RetryShareReason::FleetUnknown},
        {Six, 1s, RetryShareReason::JustStarted},
        {Six, Window, RetryShareReason::KnownEntries},
    };
    for (const Case &Each : Table) {
      Now += Each.Elapsed;
      Entries.setLive(records(Each.Live), Now);
      CPPUNIT_ASSERT_EQUAL(std::string(toString(Each.Expected)),
                           std::string(toString(Entries.share(Now).Reason)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetEntriesTest);
