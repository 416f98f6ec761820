#include "Property.h"
#include "coordination/limits/RetryBudget.h"

#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const ServiceName Board("board");
const TimePoint Start{1s};

} // namespace

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(computesShare);
  CPPUNIT_TEST(fleetStaysWithinLimit);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a share that ignores the requests, the number of entries or the window.
  void computesShare() {
    struct Case {
      const char *Name;
      std::size_t EntryCount;
      int Requests;
      Duration Delay;
      int Expected;
    };
    // 0.5 x 0.2 for each request + 0.7 x 60 divided by the number of entries.
    const Case Table[] = {
        {"no requests, alone", 1, 0, 0s, 42},
        {"no requests, twenty entries", 20, 0, 0s, 2},
        {"no requests, many entries", 100, 0, 0s, 0},
        {"requests", 20, 100, 0s, 12},
        {"requests of an earlier window", 20, 100, 11s, 2},
    };
    for (const Case &Each : Table) {
      RetryBudget Budget({0.2, 60, 10s});
      Budget.setEntryCount(Each.EntryCount);
      for (int Index = 0; Index < Each.Requests; ++Index) {
        Budget.onRequest(Board, Start);
      }
      int Taken = 0;
      while (Budget.tryAcquire(Board, Start + Each.Delay)) {
        ++Taken;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Taken);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Budget.canAcquire(Board, Start + Each.Delay));
    }
  }

  /// Guards against a retry storm: whatever the load of the entries, their retries within any
  /// window stay below the limit of the fleet.
  void fleetStaysWithinLimit() {
    checkProperty("retries of the fleet are bounded", [](const std::vector<std::uint8_t> &Steps) {
      constexpr std::size_t EntryCount = 6;
      constexpr Duration Window = 10s;
      std::vector<RetryBudget> Fleet(EntryCount, RetryBudget({0.2, 60, Window}));
      for (RetryBudget &Each : Fleet) {
        Each.setEntryCount(EntryCount);
      }
      std::deque<TimePoint> Requests;
      std::deque<TimePoint> Retries;
      TimePoint Now = Start;
      for (const std::uint8_t Step : Steps) {
        Now += Duration(Step) * 4000;
        RetryBudget &Each = Fleet[Step % EntryCount];
        Each.onRequest(Board, Now);
        Requests.push_back(Now);
        while (Each.tryAcquire(Board, Now)) {
          Retries.push_back(Now);
        }
        while (!Retries.empty() && Retries.front() <= Now - Window) {
          Retries.pop_front();
        }
        const auto RecentRequests = std::count_if(
            Requests.begin(), Requests.end(), [&](TimePoint Time) { return Time > Now - Window; });
        RC_ASSERT(static_cast<double>(Retries.size()) <=
                  0.2 * static_cast<double>(RecentRequests) + 60);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
