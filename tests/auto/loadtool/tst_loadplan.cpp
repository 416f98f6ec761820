#include "Property.h"
#include "loadtool/Scenario.h"
#include "loadtool/Schedule.h"

#include <cstddef>
#include <string>
#include <vector>

using namespace anvilsaddle;

namespace {

Scenario twoKinds() {
  Scenario Result;
  Result.Rate = 100'000;
  Result.Seed = 7;
  Result.Kinds.resize(2);
  Result.Kinds[0].Weight = 3;
  return Result;
}

} // namespace

class LoadPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlanTest);
  CPPUNIT_TEST(rateAndWeights);
  CPPUNIT_TEST(equalSeeds);
  CPPUNIT_TEST(readsScenario);
  CPPUNIT_TEST(reportsFindings);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a load that differs from the one asked for, for example by rounded gaps.
  void rateAndWeights() {
    Schedule Plan(twoKinds());
    constexpr int Draws = 100'000;
    std::vector<int> Counts(2);
    ScheduledRequest Last;
    for (int Index = 0; Index < Draws; ++Index) {
      const ScheduledRequest Next = Plan.next();
      CPPUNIT_ASSERT(Next.Due >= Last.Due);
      CPPUNIT_ASSERT_EQUAL(Last.Number + 1, Next.Number);
      ++Counts.at(Next.Kind);
      Last = Next;
    }
    // Standard deviations: 3.2 ms of 1 s and 137 of 75,000; the bounds are about five of them. At a
    // mean gap of 10 microseconds, gaps rounded down would shorten the run by 5%.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, std::chrono::duration<double>(Last.Due).count(), 0.016);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(75'000.0, Counts[0], 700.0);
  }

  /// Guards against runs that can't be repeated.
  void equalSeeds() {
    checkProperty("equal scenarios give equal schedules, other seeds other ones",
                  [](std::uint64_t Seed) {
                    Scenario Plan = twoKinds();
                    Plan.Seed = Seed;
                    Schedule First(Plan);
                    Schedule Second(Plan);
                    Plan.Seed = Seed + 1;
                    Schedule Other(Plan);
                    bool Differs = false;
                    for (int Index = 0; Index < 20; ++Index) {
                      const ScheduledRequest Next = First.next();
                      RC_ASSERT(Next == Second.next());
                      Differs |= Next != Other.next();
                    }
                    RC_ASSERT(Differs);
                  });
  }

  /// Guards against fields that are read into the wrong place.
  void readsScenario() {
    const auto Parsed = readScenario("rate = 700\ncount = 50\nseed = 3\n[[kind]]\nname = 'a'\n"
                                     "method = 'POST'\npath = '/x'\nweight = 2\nclass = 'bulk'\n"
                                     "credential = 't.c.s'\nkey = true\nbody_bytes = 9\n"
                                     "service = 'vault'\n",
                                     "s.toml");
    CPPUNIT_ASSERT(std::holds_alternative<Scenario>(Parsed));
    const Scenario Expected{
        700, 50, 3, {{"a", "POST", "/x", 2, "bulk", "t.c.s", true, 9, "vault"}}};
    CPPUNIT_ASSERT(std::get<Scenario>(Parsed) == Expected);
  }

  /// Guards against a run under settings other than the ones meant.
  void reportsFindings() {
    struct Case {
      const char *Text;
      std::size_t Findings;
    };
    const Case Table[] = {
        {"rate = 10", 1},
        {"[[kind]]\nname = 'a'\npath = 'x'\ncredential = 'c'", 1},
        {"rate = 0\ntypo = 1\n[[kind]]\nname = 'a'\npath = '/x'\nclass = 'fast'", 4},
        {"rate = ", 1},
    };
    for (const Case &Each : Table) {
      const auto Parsed = readScenario(Each.Text, "s.toml");
      CPPUNIT_ASSERT_MESSAGE(Each.Text, std::holds_alternative<Findings>(Parsed));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Text, Each.Findings, std::get<Findings>(Parsed).size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);
