#include "Property.h"
#include "coordination/dispatch/RequestTimers.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};

} // namespace

class RequestTimersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTimersTest);
  CPPUNIT_TEST(dueRequests);
  CPPUNIT_TEST(replacedAndRemovedTimers);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a timer that is handled early, late or in the wrong order.
  void dueRequests() {
    struct Case {
      const char *Name;
      Duration Elapsed;
      std::vector<RequestNumber> Due;
    };
    const Case Table[] = {
        {"before the first", 999ms, {}},
        {"at the first", 1s, {7}},
        {"same time, by number", 2s, {7, 3, 5}},
        {"all", 9s, {7, 3, 5, 1}},
    };
    RequestTimers Timers;
    CPPUNIT_ASSERT(!Timers.next());
    Timers.set(5, Start + 2s);
    Timers.set(3, Start + 2s);
    Timers.set(7, Start + 1s);
    Timers.set(1, Start + 4s);
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Timers.due(Start + Each.Elapsed) == Each.Due);
    }
    CPPUNIT_ASSERT(Timers.next() == Start + 1s);
  }

  /// Guards against a timer that fires for a request that has ended, or at an earlier time that was
  /// replaced.
  void replacedAndRemovedTimers() {
    RequestTimers Timers;
    Timers.set(1, Start + 1s);
    Timers.set(2, Start + 2s);
    Timers.set(1, Start + 3s);
    CPPUNIT_ASSERT(Timers.next() == Start + 2s);
    Timers.remove(2);
    Timers.remove(9);
    CPPUNIT_ASSERT(Timers.due(Start + 2s).empty());
    CPPUNIT_ASSERT(Timers.due(Start + 3s) == std::vector<RequestNumber>{1});
    Timers.remove(1);
    CPPUNIT_ASSERT(!Timers.next());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTimersTest);
