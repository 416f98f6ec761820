#include "Property.h"
#include "coordination/Placement.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const RouteEstimator::Estimate Small{100ms, 1500};
const RouteEstimator::Estimate Large{100ms, 90'000};

PlacementCandidate at(Distance Place, LoadReport Load, std::uint32_t SentSince = 0,
                      double FailureScore = 0) {
  return {0, Place, Load, SentSince, FailureScore};
}

} // namespace

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(choices);
  CPPUNIT_TEST(good);
  CPPUNIT_TEST(ties);
  CPPUNIT_TEST(worseLoadIsNeverCheaper);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a choice that ignores load, slowdown, distance or failures.
  void choices() {
    constexpr auto Here = Distance::SameDomain;
    constexpr auto Near = Distance::SameRegion;
    constexpr auto Far = Distance::OtherRegion;
    struct Case {
      const char *Name;
      RouteEstimator::Estimate Request;
      PlacementCandidate First;
      PlacementCandidate Second;
      std::size_t Expected;
    };
    const Case Table[] = {
        {"idle before full", Small, at(Here, {3, 1, 3, 1}), at(Here, {0, 0, 3, 1}), 1},
        {"usual before slow", Small, at(Here, {0, 0, 3, 5}), at(Here, {2, 0, 3, 1}), 1},
        {"near before far", Small, at(Near, {0, 0, 3, 1}), at(Far, {0, 0, 3, 1}), 0},
        {"own domain before region", Small, at(Near, {0, 0, 3, 1}), at(Here, {0, 0, 3, 1}), 1},
        {"far before a long queue", Small, at(Here, {3, 6, 3, 1}), at(Far, {0, 0, 3, 1}), 1},
        {"large answers stay", Large, at(Here, {3, 0, 3, 1}), at(Near, {0, 0, 3, 1}), 0},
        {"large answers never go far", Large, at(Here, {3, 6, 3, 1}), at(Far, {0, 0, 3, 1}), 0},
        {"sent since", Small, at(Here, {0, 0, 3, 1}, 3), at(Here, {2, 0, 3, 1}), 1},
        {"failures", Small, at(Here, {0, 0, 3, 1}, 0, 2), at(Here, {2, 0, 3, 1}), 1},
    };
    for (const Case &Each : Table) {
      std::vector<PlacementCandidate> Both = {Each.First, Each.Second};
      Both[1].Index = 1;
      const auto Choice = placement::chooseBest(Both, Each.Request, 0.5);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Choice && Choice->Index == Each.Expected);
    }
    CPPUNIT_ASSERT(!placement::chooseBest({}, Small, 0.5));
  }

  /// Guards against probes of further targets for nothing, and against a slow target that is taken
  /// although others were not asked.
  void good() {
    struct Case {
      const char *Name;
      PlacementCandidate Candidate;
      bool Expected;
    };
    const Case Table[] = {
        {"idle", at(Distance::SameDomain, {0, 0, 3, 1}), true},
        {"last slot", at(Distance::SameDomain, {2, 0, 3, 1}), true},
        {"full", at(Distance::SameDomain, {3, 0, 3, 1}), false},
        {"slow", at(Distance::SameDomain, {0, 0, 3, 5}), false},
        {"idle in the region", at(Distance::SameRegion, {0, 0, 3, 1}), true},
        {"failing", at(Distance::SameDomain, {0, 0, 3, 1}, 0, 1), false},
    };
    for (const Case &Each : Table) {
      const bool Result =
          placement::isGoodEnough(placement::evaluate(Each.Candidate, Small), Small);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Result);
    }
  }

  /// Guards against all entries that choose the same of several equal targets.
  void ties() {
    std::vector<PlacementCandidate> Equal(4, at(Distance::SameDomain, {0, 0, 3, 1}));
    for (std::size_t Index = 0; Index < Equal.size(); ++Index) {
      Equal[Index].Index = Index;
    }
    for (std::size_t Index = 0; Index < Equal.size(); ++Index) {
      const double RandomValue = (static_cast<double>(Index) + 0.5) / 4;
      CPPUNIT_ASSERT_EQUAL(Index, placement::chooseBest(Equal, Small, RandomValue)->Index);
    }
  }

  /// Guards against a rating that prefers more load.
  void worseLoadIsNeverCheaper() {
    checkProperty("more load costs no less", [](std::uint8_t Running, std::uint8_t Waiting,
                                                std::uint8_t More, std::uint8_t Slow) {
      const LoadReport Less{Running, Waiting, 3, 1 + Slow / 50.0};
      LoadReport Worse = Less;
      Worse.Waiting += More;
      Worse.Slowdown += More / 50.0;
      const auto First = placement::evaluate(at(Distance::SameDomain, Less), Small);
      const auto Second = placement::evaluate(at(Distance::SameDomain, Worse), Small);
      RC_ASSERT(First.Cost <= Second.Cost);
      RC_ASSERT(First.QueuedAhead <= Second.QueuedAhead);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
