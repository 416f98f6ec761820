#include "Property.h"
#include "coordination/dispatch/ShutdownSchedule.h"

#include <algorithm>
#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

class ShutdownScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownScheduleTest);
  CPPUNIT_TEST(phasesFitTheGracePeriod);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests that are broken off while their target works and the grace period is
  /// not nearly over, against requests that are taken too late to end, and against a process that
  /// is killed before the final responses are sent.
  void phasesFitTheGracePeriod() {
    const Duration GracePeriods[] = {1s, 2s, 3s, 4s, 6s, 12s, 60s};
    constexpr TimePoint Start{100s};
    for (const Duration Each : GracePeriods) {
      const std::string Name = std::to_string(toMilliseconds(Each)) + " ms";
      const ShutdownSchedule Tested(Start, Each);
      const TimePoint Kill = Start + Each;
      // Callers learn of the shutdown within a lifetime or two of a directory response.
      CPPUNIT_ASSERT_MESSAGE(Name, Tested.serveUntil() - Start >= std::min<Duration>(2s, Each / 3));
      CPPUNIT_ASSERT_MESSAGE(Name, Tested.serveUntil() - Start <= 3s);
      // Work may be broken off in the last sixth of the grace period only.
      CPPUNIT_ASSERT_MESSAGE(Name, Tested.finalResponseTime() >= Kill - Each / 6);
      CPPUNIT_ASSERT_MESSAGE(Name, Tested.finalResponseTime() - Tested.serveUntil() >= Each / 3);
      const Duration FlushTime = Tested.endTime() - Tested.finalResponseTime();
      CPPUNIT_ASSERT_MESSAGE(Name, FlushTime >= (Kill - Tested.finalResponseTime()) / 2);
      CPPUNIT_ASSERT_MESSAGE(Name, Tested.endTime() <= Kill - Each / 200);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownScheduleTest);
