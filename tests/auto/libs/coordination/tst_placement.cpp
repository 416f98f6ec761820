#include "Property.h"
#include "coordination/dispatch/Placement.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const ProcessingTimeEstimator::Estimate SmallResponse{100ms, 1500};
const ProcessingTimeEstimator::Estimate LargeResponse{100ms, 90'000};

PlacementCandidate candidateAt(Distance Proximity, LoadReport Load,
                               std::uint32_t SentSinceReport = 0, double FailureScore = 0) {
  return {0, Proximity, Load, SentSinceReport, FailureScore};
}

} // namespace

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(choosesBest);
  CPPUNIT_TEST(goodEnough);
  CPPUNIT_TEST(breaksTies);
  CPPUNIT_TEST(higherLoadNeverCostsLess);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a choice that ignores load, slowdown, distance or failures.
  void choosesBest() {
    constexpr auto OwnDomain = Distance::SameDomain;
    constexpr auto OwnRegion = Distance::SameRegion;
    constexpr auto OtherRegion = Distance::OtherRegion;
    struct Case {
      const char *Name;
      ProcessingTimeEstimator::Estimate Estimate;
      PlacementCandidate First;
      PlacementCandidate Second;
      std::size_t Expected;
    };
    const Case Table[] = {
        {"idle before full", SmallResponse, candidateAt(OwnDomain, {3, 1, 3, 1}),
         candidateAt(OwnDomain, {0, 0, 3, 1}), 1},
        {"normal before slow", SmallResponse, candidateAt(OwnDomain, {0, 0, 3, 5}),
         candidateAt(OwnDomain, {2, 0, 3, 1}), 1},
        {"own region before other region", SmallResponse, candidateAt(OwnRegion, {0, 0, 3, 1}),
         candidateAt(OtherRegion, {0, 0, 3, 1}), 0},
        {"own domain before region", SmallResponse, candidateAt(OwnRegion, {0, 0, 3, 1}),
         candidateAt(OwnDomain, {0, 0, 3, 1}), 1},
        {"other region before a long queue", SmallResponse, candidateAt(OwnDomain, {3, 6, 3, 1}),
         candidateAt(OtherRegion, {0, 0, 3, 1}), 1},
        {"large responses stay in the domain", LargeResponse, candidateAt(OwnDomain, {3, 0, 3, 1}),
         candidateAt(OwnRegion, {0, 0, 3, 1}), 0},
        {"large responses do not cross regions", LargeResponse,
         candidateAt(OwnDomain, {3, 6, 3, 1}), candidateAt(OtherRegion, {0, 0, 3, 1}), 0},
        {"sent since the report", SmallResponse, candidateAt(OwnDomain, {0, 0, 3, 1}, 3),
         candidateAt(OwnDomain, {2, 0, 3, 1}), 1},
        {"failures", SmallResponse, candidateAt(OwnDomain, {0, 0, 3, 1}, 0, 2),
         candidateAt(OwnDomain, {2, 0, 3, 1}), 1},
    };
    for (const Case &Each : Table) {
      std::vector<PlacementCandidate> Candidates = {Each.First, Each.Second};
      Candidates[1].Index = 1;
      const auto Choice = placement::chooseBest(Candidates, Each.Estimate, 0.5);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Choice && Choice->Index == Each.Expected);
    }
    CPPUNIT_ASSERT(!placement::chooseBest({}, SmallResponse, 0.5));
  }

  /// Guards against unnecessary probes of further targets, and against the choice of a slow target
  /// without probing others.
  void goodEnough() {
    struct Case {
      const char *Name;
      PlacementCandidate Candidate;
      bool Expected;
    };
    const Case Table[] = {
        {"idle", candidateAt(Distance::SameDomain, {0, 0, 3, 1}), true},
        {"last slot", candidateAt(Distance::SameDomain, {2, 0, 3, 1}), true},
        {"full", candidateAt(Distance::SameDomain, {3, 0, 3, 1}), false},
        {"slow", candidateAt(Distance::SameDomain, {0, 0, 3, 5}), false},
        {"idle in the region", candidateAt(Distance::SameRegion, {0, 0, 3, 1}), true},
        {"failing", candidateAt(Distance::SameDomain, {0, 0, 3, 1}, 0, 1), false},
    };
    for (const Case &Each : Table) {
      const bool Result = placement::isGoodEnough(
          placement::evaluate(Each.Candidate, SmallResponse), SmallResponse);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Result);
    }
  }

  /// Guards against all entries choosing the same of several equal targets.
  void breaksTies() {
    std::vector<PlacementCandidate> EqualCandidates(
        4, candidateAt(Distance::SameDomain, {0, 0, 3, 1}));
    for (std::size_t Index = 0; Index < EqualCandidates.size(); ++Index) {
      EqualCandidates[Index].Index = Index;
    }
    for (std::size_t Index = 0; Index < EqualCandidates.size(); ++Index) {
      const double RandomValue = (static_cast<double>(Index) + 0.5) / 4;
      CPPUNIT_ASSERT_EQUAL(
          Index, placement::chooseBest(EqualCandidates, SmallResponse, RandomValue)->Index);
    }
  }

  /// Guards against a cost that prefers higher load.
  void higherLoadNeverCostsLess() {
    checkProperty("more load costs no less", [](std::uint8_t Running, std::uint8_t Waiting,
                                                std::uint8_t Additional,
                                                std::uint8_t SlowdownStep) {
      const LoadReport Lower{Running, Waiting, 3, 1 + SlowdownStep / 50.0};
      LoadReport Higher = Lower;
      Higher.Waiting += Additional;
      Higher.Slowdown += Additional / 50.0;
      const auto First =
          placement::evaluate(candidateAt(Distance::SameDomain, Lower), SmallResponse);
      const auto Second =
          placement::evaluate(candidateAt(Distance::SameDomain, Higher), SmallResponse);
      RC_ASSERT(First.Cost <= Second.Cost);
      RC_ASSERT(First.QueuedAhead <= Second.QueuedAhead);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
