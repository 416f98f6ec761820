#include "Property.h"
#include "coordination/RetryBudget.h"

#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const ServiceName Board("board");
const TimePoint Start{1s};

} // namespace

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(shares);
  CPPUNIT_TEST(fleetStaysWithinTheBound);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a share that ignores the requests, the number of entries or the window.
  void shares() {
    struct Case {
      const char *Name;
      std::size_t Entries;
      int Requests;
      Duration After;
      int Expected;
    };
    // 0.7 of (0.2 for each request + 60 over all entries).
    const Case Table[] = {
        {"no requests, alone", 1, 0, 0s, 42},
        {"no requests, twenty entries", 20, 0, 0s, 2},
        {"no requests, many entries", 100, 0, 0s, 0},
        {"requests", 20, 100, 0s, 16},
        {"requests of an earlier window", 20, 100, 11s, 2},
    };
    for (const Case &Each : Table) {
      RetryBudget Budget({0.2, 60, 10s});
      Budget.setEntryCount(Each.Entries);
      for (int Index = 0; Index < Each.Requests; ++Index) {
        Budget.onRequest(Board, Start);
      }
      int Taken = 0;
      while (Budget.tryAcquire(Board, Start + Each.After)) {
        ++Taken;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Taken);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Budget.canAcquire(Board, Start + Each.After));
    }
  }

  /// Guards against a retry storm: whatever the load of the entries, the repeats of all of them
  /// within any window stay below the bound of the fleet.
  void fleetStaysWithinTheBound() {
    checkProperty("repeats of the fleet are bounded", [](const std::vector<std::uint8_t> &Steps) {
      constexpr std::size_t Entries = 6;
      constexpr Duration Window = 10s;
      std::vector<RetryBudget> Fleet(Entries, RetryBudget({0.2, 60, Window}));
      for (RetryBudget &Each : Fleet) {
        Each.setEntryCount(Entries);
      }
      std::deque<TimePoint> Requests;
      std::deque<TimePoint> Repeats;
      TimePoint Now = Start;
      for (const std::uint8_t Step : Steps) {
        Now += Duration(Step) * 4000;
        RetryBudget &Each = Fleet[Step % Entries];
        Each.onRequest(Board, Now);
        Requests.push_back(Now);
        while (Each.tryAcquire(Board, Now)) {
          Repeats.push_back(Now);
        }
        while (!Repeats.empty() && Repeats.front() <= Now - Window) {
          Repeats.pop_front();
        }
        const auto Recent = std::count_if(Requests.begin(), Requests.end(),
                                          [&](TimePoint Time) { return Time > Now - Window; });
        RC_ASSERT(static_cast<double>(Repeats.size()) <= 0.2 * static_cast<double>(Recent) + 60);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
