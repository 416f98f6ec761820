#include "Property.h"
#include "coordination/limits/HedgeBudget.h"
#include "coordination/limits/RetryBudget.h"

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const ServiceName Board("board");
const TimePoint Start{1s};

} // namespace

class HedgeBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgeBudgetTest);
  CPPUNIT_TEST(computesCredit);
  CPPUNIT_TEST(fleetStaysWithinLimit);
  CPPUNIT_TEST(leavesRetriesTheirShare);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a limit of 0 that lets a hedge through, and against credit that a quiet time
  /// builds up without end.
  void computesCredit() {
    struct Case {
      const char *Name;
      std::optional<double> Share;
      std::size_t EntryCount;
      int Requests;
      int Expected;
    };
    const Case Table[] = {
        {"none", std::nullopt, 1, 10'000, 0},
        {"0 in 100", 0, 1, 10'000, 0},
        {"1 in 100", 0.01, 1, 250, 2},
        {"5 in 100", 0.05, 1, 250, 12},
        {"no requests yet", 0.05, 1, 0, 0},
        {"one entry keeps 32", 0.05, 1, 10'000, 32},
        {"100 entries keep 2 each", 0.05, 100, 10'000, 2},
    };
    for (const Case &Each : Table) {
      HedgeBudget Budget({Each.Share});
      Budget.setEntryCount(Each.EntryCount);
      for (int Index = 0; Index < Each.Requests; ++Index) {
        Budget.onRequest();
      }
      int Taken = 0;
      while (Budget.tryAcquire()) {
        ++Taken;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Taken);
    }
    HedgeBudget Grown({1});
    for (int Index = 0; Index < 32; ++Index) {
      Grown.onRequest();
    }
    Grown.setEntryCount(30);
    CPPUNIT_ASSERT_EQUAL(3.0, Grown.credit());
  }

  /// Guards against hedges of a fleet that exceed the limit within some window, because entries
  /// that know nothing of each other spend their credit at the same time.
  void fleetStaysWithinLimit() {
    checkProperty("hedges of the fleet are bounded in any window",
                  [](const std::vector<std::uint8_t> &Steps) {
                    constexpr std::size_t EntryCount = 6;
                    for (const double Share : {0.0, 0.01, 0.05}) {
                      std::vector<HedgeBudget> Fleet(EntryCount, HedgeBudget({Share}));
                      for (HedgeBudget &Each : Fleet) {
                        Each.setEntryCount(EntryCount);
                      }
                      const double Kept =
                          HedgeBudget::EntryCredit * EntryCount + HedgeBudget::FleetCredit;
                      // The largest excess of hedges over the share of requests in a window that
                      // ends now.
                      double Excess = 0;
                      double Total = 0;
                      for (const std::uint8_t Step : Steps) {
                        HedgeBudget &Each = Fleet[Step % EntryCount];
                        for (int Index = 0; Index < Step; ++Index) {
                          Each.onRequest();
                          Excess = std::max(0.0, Excess - Share);
                          Total -= Share;
                        }
                        for (int Index = 0; Index < Step / 16 && Each.tryAcquire(); ++Index) {
                          Excess += 1;
                          Total += 1;
                        }
                        RC_ASSERT(Excess <= Kept + 1e-6);
                        RC_ASSERT(Total <= 1e-6);
                      }
                    }
                  });
  }

  /// Guards against hedges of a slow spell that use up the budget, so that requests that a target
  /// drops at the same time are not repeated.
  void leavesRetriesTheirShare() {
    struct Case {
      const char *Name;
      double BaseRetries;
      int Hedges;
      int Retries;
    };
    // The budget is 0.7 of the base retries.
    const Case Table[] = {{"hedges take half", 100, 35, 35},
                          {"one is left for either", 2, 1, 0},
                          {"none is left", 1, 0, 0}};
    for (const Case &Each : Table) {
      RetryBudget Budget({0.2, Each.BaseRetries, 10s});
      int Hedges = 0;
      while (Budget.tryAcquireHedge(Board, Start)) {
        ++Hedges;
      }
      int Retries = 0;
      while (Budget.tryAcquire(Board, Start)) {
        ++Retries;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Hedges, Hedges);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Retries, Retries);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Budget.canAcquireHedge(Board, Start));
    }
    RetryBudget Used({0.2, 100, 10s});
    while (Used.tryAcquire(Board, Start)) {
    }
    CPPUNIT_ASSERT(!Used.canAcquireHedge(Board, Start));
    CPPUNIT_ASSERT(Used.canAcquireHedge(Board, Start + 11s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgeBudgetTest);
