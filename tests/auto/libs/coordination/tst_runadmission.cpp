#include "DispatcherHarness.h"
#include "coordination/dispatch/CallerTimes.h"
#include "coordination/dispatch/ProcessingTimeEstimator.h"
#include "coordination/dispatch/RunAdmission.h"
#include "coordination/dispatch/ShortageEstimator.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilsaddle;
using namespace std::chrono_literals;

class RunAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunAdmissionTest);
  CPPUNIT_TEST(decidesByTimeLeft);
  CPPUNIT_TEST(refusesAtOnceWhereAllAreTooSlow);
  CPPUNIT_TEST(learnsHowLongSlowdownsLast);
  CPPUNIT_TEST(knowsRecentSlowdowns);
  CPPUNIT_TEST(estimatesIntervalsOfShortQueues);
  CPPUNIT_TEST(recognizesReturningCallers);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against runs that are certain to be cut off, against waiting for a better target that
  /// would be too late as well, and against effects on idempotent requests.
  void decidesByTimeLeft() {
    struct Case {
      const char *Name;
      bool Idempotent;
      Duration Elapsed;
      Duration Expected;
      Duration IfSlowdownLasts;
      std::optional<double> Fastest;
      RunDecision Decision;
    };
    using enum RunDecision;
    // An objective of 1.5 s, a deadline of 2 s, and a usual time of 350 ms.
    const Case Table[] = {
        {"fast", false, 0ms, 350ms, 350ms, 1, Send},
        {"ends in time even so", false, 0ms, 1s, 1900ms, 1, Send},
        {"may be cut off", false, 0ms, 1s, 2100ms, 1, WaitForBetter},
        {"a better one would miss the objective", false, 1200ms, 700ms, 2100ms, 1, Send},
        {"cut off, a better one ends in time", false, 1200ms, 900ms, 2100ms, 1, WaitForBetter},
        {"cut off, a better one as well", false, 1700ms, 900ms, 2100ms, 1, Refuse},
        {"all are slow, may end in time", false, 0ms, 1900ms, 3s, 8, Send},
        {"all are too slow", false, 0ms, 2100ms, 3s, 8, Refuse},
        {"nothing known of others", false, 0ms, 2100ms, 3s, std::nullopt, Refuse},
        {"idempotent", true, 0ms, 2100ms, 3s, 1, Send},
    };
    for (const Case &Each : Table) {
      RequestAttributes Attributes;
      Attributes.Idempotent = Each.Idempotent;
      Attributes.ReceivedAt = TimePoint(100s);
      Attributes.Objective = 1500ms;
      Attributes.Deadline = Attributes.ReceivedAt + 2s;
      PlacementChoice Choice;
      Choice.ExpectedTime = Each.Expected;
      Choice.TimeIfSlowdownLasts = Each.IfSlowdownLasts;
      const RunAdmission Result =
          decideRun(Attributes, Choice, 350ms, Each.Fastest, Attributes.ReceivedAt + Each.Elapsed);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Result.Decision == Each.Decision);
    }
  }

  /// Guards against requests that wait until little time is left although no target could serve
  /// them in time, and against never sending one again, which would hide that reports are false.
  void refusesAtOnceWhereAllAreTooSlow() {
    DispatcherHarness Harness;
    for (const char *Name : {"x", "y", "z"}) {
      Harness.addTarget(Name, "a1");
    }
    Harness.OnProbe = [](const TargetName &) { return ProbeReport{true, {0, 0, 3, 50}, true, 0s}; };
    constexpr RequestNumber Requests = 200;
    for (RequestNumber Number = 1; Number <= Requests; ++Number) {
      const TimePoint Arrival = Harness.Now;
      const RequestNumber Sent = Harness.request(Harness.attributes(false));
      Harness.run(300ms);
      const auto *End = Harness.completionOf(Sent);
      CPPUNIT_ASSERT(End);
      if (Harness.sentOf(Sent).empty()) {
        CPPUNIT_ASSERT(End->Refusal && End->Refusal->Kind == RefusalKind::NotExecuted);
        CPPUNIT_ASSERT(End->Refusal->RetryAfter > 0s && End->Time <= Arrival + 50ms);
      }
    }
    // Runs at these targets take the usual time. Once that is learned, all requests are sent.
    CPPUNIT_ASSERT(Harness.TestedDispatcher.counters().RunsRefused > 0);
    CPPUNIT_ASSERT(Harness.TestedDispatcher.counters().RunsExplored > 0);
    CPPUNIT_ASSERT(!Harness.sentOf(Requests).empty());
    CPPUNIT_ASSERT(Harness.Violations.empty());
  }

  /// Guards against one fixed part of a slowdown for runs of any length: slowdowns that end soon
  /// matter little to long runs, and ones that last matter fully.
  void learnsHowLongSlowdownsLast() {
    for (const double Experienced : {1.0, 3.0, 5.0}) {
      ProcessingTimeEstimator Estimator;
      const RouteName Route("r");
      for (int Index = 0; Index < 50; ++Index) {
        Estimator.onSlowdownSeen(Route, 5, Experienced);
        Estimator.onSlowdownSeen(Route, 1.1, 9);
      }
      const double Expected = (Experienced - 1) / 4;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(Expected, Estimator.estimate(Route, 1s).SlowdownPersistence,
                                   0.1);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          0.6, Estimator.estimate(RouteName("other"), 1s).SlowdownPersistence, 0.001);
    }
  }

  /// Guards against decisions by old reports, and against a single fast target among many that
  /// makes requests wait.
  void knowsRecentSlowdowns() {
    RecentSlowdowns Slowdowns;
    const TimePoint Start(100s);
    CPPUNIT_ASSERT(!Slowdowns.fastest(Start));
    Slowdowns.add(1, Start);
    for (int Index = 0; Index < 30; ++Index) {
      Slowdowns.add(6, Start);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6, *Slowdowns.fastest(Start), 0.001);
    for (int Index = 0; Index < 4; ++Index) {
      Slowdowns.add(2, Start + 500ms);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, *Slowdowns.fastest(Start + 500ms), 0.001);
    CPPUNIT_ASSERT(!Slowdowns.fastest(Start + 1600ms));
  }

  /// Guards against an entry with few requests that knows no wait, because its queue is empty again
  /// before it has measured one.
  void estimatesIntervalsOfShortQueues() {
    ShortageEstimator Shortage;
    const TimePoint Start(100s);
    CPPUNIT_ASSERT(!Shortage.dispatchInterval(Start));
    for (int Index = 0; Index < 5; ++Index) {
      const TimePoint Queued = Start + 500ms * Index;
      Shortage.onLeft(Queued, true, Queued + 100ms);
    }
    const TimePoint End = Start + 2100ms;
    CPPUNIT_ASSERT(Shortage.dispatchInterval(End) == 100ms);
    // A refused request has waited without a dispatch.
    Shortage.onLeft(End, false, End + 400ms);
    CPPUNIT_ASSERT(*Shortage.dispatchInterval(End + 400ms) > 180ms);
    CPPUNIT_ASSERT(!Shortage.dispatchInterval(End + 10s));
  }

  /// Guards against callers that are taken for returning because of the time that a request takes
  /// to the entry, or because callers of the route once had more time.
  void recognizesReturningCallers() {
    CallerTimes Times;
    const RouteName Route("r");
    const TimePoint Start(100s);
    struct Case {
      Duration After;
      Duration TimeLeft;
      Duration Expected;
    };
    const Case Table[] = {{0s, 3s, 0s},     {1s, 2990ms, 0s},   {1s, 2400ms, 600ms},
                          {2s, 3010ms, 0s}, {3s, 1s, 2010ms},   {13s, 1s, 0s},
                          {13s, 990ms, 0s}, {14s, 500ms, 500ms}};
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_EQUAL(Duration(Each.Expected).count(),
                           Times.elapsed(Route, Each.TimeLeft, Start + Each.After).count());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunAdmissionTest);
