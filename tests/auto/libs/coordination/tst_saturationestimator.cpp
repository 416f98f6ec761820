#include "Property.h"
#include "coordination/Placement.h"
#include "coordination/SaturationEstimator.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};
const ServiceName Board("board");

} // namespace

class SaturationEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SaturationEstimatorTest);
  CPPUNIT_TEST(learns);
  CPPUNIT_TEST(singleAnswers);
  CPPUNIT_TEST(fades);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against slots that stay idle at targets that are not slow when full, and against full
  /// targets that go unnoticed.
  void learns() {
    struct Case {
      double Ratio;
      std::uint32_t Usable;
    };
    const Case Table[] = {{0.9, 3}, {1.0, 3}, {1.2, 3}, {1.5, 2}, {2.5, 2}};
    for (const Case &Each : Table) {
      SaturationEstimator Learned;
      for (int Index = 0; Index < 40; ++Index) {
        Learned.onResponse(Board, Each.Ratio, Start + Index * 100ms);
      }
      const double Factor = Learned.saturationFactor(Board, Start + 4s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(Each.Ratio) + " " + std::to_string(Factor),
                                   Each.Usable, placement::usableSlots(3, Factor));
      CPPUNIT_ASSERT_EQUAL(SaturationEstimator::DefaultFactor,
                           Learned.saturationFactor(ServiceName("other"), Start + 4s));
    }
  }

  /// Guards against a few answers of a slow machine that pass for the usual case.
  void singleAnswers() {
    SaturationEstimator Learned;
    for (int Index = 0; Index < 100; ++Index) {
      Learned.onResponse(Board, Index % 4 == 0 ? 20 : 1, Start + Index * 10ms);
    }
    CPPUNIT_ASSERT_EQUAL(3U,
                         placement::usableSlots(3, Learned.saturationFactor(Board, Start + 1s)));
  }

  /// Guards against a slot that stays idle for good, as nothing is learned from it.
  void fades() {
    SaturationEstimator Learned;
    for (int Index = 0; Index < 40; ++Index) {
      Learned.onResponse(Board, 3, Start);
    }
    CPPUNIT_ASSERT_EQUAL(2U,
                         placement::usableSlots(3, Learned.saturationFactor(Board, Start + 10s)));
    CPPUNIT_ASSERT_EQUAL(3U,
                         placement::usableSlots(3, Learned.saturationFactor(Board, Start + 20min)));
    CPPUNIT_ASSERT_EQUAL(1U, placement::usableSlots(1, Learned.saturationFactor(Board, Start)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SaturationEstimatorTest);
