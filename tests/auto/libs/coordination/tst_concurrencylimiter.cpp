#include "Property.h"
#include "coordination/ConcurrencyLimiter.h"

#include <random>

using namespace anvilsaddle;

namespace {
constexpr double Mean = 10'000;

/// Drives one limiter with answers one after another, as many at once as it allows.
struct Driver {
  ConcurrencyLimiter Limiter{3};
  TimePoint Now{};
  RequestNumber Next = 0;

  void round(Duration Time, AttemptOutcome Outcome = AttemptOutcome::Succeeded) {
    const std::uint32_t Count = this->Limiter.limit(this->Now);
    for (std::uint32_t Index = 0; Index < Count; ++Index) {
      this->Limiter.onStart(this->Next + Index, Index + 1, this->Now);
    }
    this->Now += Time;
    for (std::uint32_t Index = 0; Index < Count; ++Index) {
      this->Limiter.onEnd(this->Next++, {Outcome, Time, Time, 0.5}, this->Now);
    }
  }
  /// One attempt alone, so that each answer has a draw of its own.
  void single(double Micros) {
    const Duration Time(static_cast<std::int64_t>(Micros));
    this->Limiter.onStart(this->Next, 1, this->Now);
    this->Now += Time;
    this->Limiter.onEnd(this->Next++, {AttemptOutcome::Succeeded, Time, Time, 0.5}, this->Now);
  }
  void rounds(int Count, Duration Time) {
    for (int Index = 0; Index < Count; ++Index) {
      this->round(Time);
    }
  }
};

constexpr Duration Normal{10'000};
} // namespace

class ConcurrencyLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrencyLimiterTest);
  CPPUNIT_TEST(growth);
  CPPUNIT_TEST(growthOfSlowStart);
  CPPUNIT_TEST(cuts);
  CPPUNIT_TEST(repeatedFailures);
  CPPUNIT_TEST(overdueWork);
  CPPUNIT_TEST(longBody);
  CPPUNIT_TEST(slowTargetIsProbed);
  CPPUNIT_TEST(exponentialAnswers);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a new target that gets more than one request at once, or that stays limited.
  void growth() {
    Driver Subject;
    for (std::uint32_t Answer = 1; Answer < ConcurrencyLimiter::GrowthRun; ++Answer) {
      Subject.round(Normal);
      CPPUNIT_ASSERT_EQUAL(1U, Subject.Limiter.limit(Subject.Now));
    }
    Subject.rounds(5, Normal);
    CPPUNIT_ASSERT_EQUAL(3U, Subject.Limiter.limit(Subject.Now));
    CPPUNIT_ASSERT(Subject.Now < TimePoint(std::chrono::milliseconds(500)));
    Subject.rounds(100, Normal);
    CPPUNIT_ASSERT_EQUAL(3U, Subject.Limiter.limit(Subject.Now));
    Subject.Limiter.setSlots(2);
    CPPUNIT_ASSERT_EQUAL(2U, Subject.Limiter.limit(Subject.Now));
  }

  /// Guards against a cold target that is raised although its answers are slower than its group's,
  /// and against a target that is always slower and never grows.
  void growthOfSlowStart() {
    Driver Subject;
    Subject.Limiter.setGroupBaseline(Normal);
    Subject.rounds(40, 2 * Normal);
    CPPUNIT_ASSERT_EQUAL(1U, Subject.Limiter.limit(Subject.Now));
    Subject.rounds(100, 2 * Normal);
    CPPUNIT_ASSERT_EQUAL(3U, Subject.Limiter.limit(Subject.Now));
  }

  /// Guards against a target in trouble that keeps its limit, and against a cut without cause.
  void cuts() {
    struct Case {
      const char *Name;
      AttemptOutcome Outcome;
      int Answers;
      Duration Time;
      std::uint32_t Expected;
    };
    const Case Table[] = {
        {"shed", AttemptOutcome::Shed, 1, Normal, 1},
        {"failed", AttemptOutcome::Failed, 1, Normal, 1},
        {"caller left", AttemptOutcome::Cancelled, 1, Normal, 3},
        {"short deadline", AttemptOutcome::DeadlineExceeded, 1, Normal, 3},
        {"one slow draw", AttemptOutcome::Succeeded, 1, 15 * Normal, 3},
        {"one very slow draw", AttemptOutcome::Succeeded, 1, 1000 * Normal, 3},
        {"several slow answers", AttemptOutcome::Succeeded, 3, 10 * Normal, 1},
        {"several callers left a silent target", AttemptOutcome::Cancelled, 3, 10 * Normal, 1},
    };
    for (const Case &Each : Table) {
      Driver Subject;
      Subject.rounds(40, Normal);
      for (int Index = 0; Index < Each.Answers; ++Index) {
        Subject.Limiter.onStart(Subject.Next, 1, Subject.Now);
        Subject.Now += Each.Time;
        Subject.Limiter.onEnd(Subject.Next++, {Each.Outcome, Each.Time, Each.Time, 0.5},
                              Subject.Now);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Subject.Limiter.limit(Subject.Now));
    }
  }

  /// Guards against a broken target that takes requests at full speed, or that is never tried
  /// again.
  void repeatedFailures() {
    Driver Subject;
    Subject.rounds(40, Normal);
    Subject.round(Duration(1000), AttemptOutcome::Failed);
    CPPUNIT_ASSERT_EQUAL(1U, Subject.Limiter.limit(Subject.Now));
    Duration Last(0);
    for (int Attempt = 0; Attempt < 8; ++Attempt) {
      Subject.round(Duration(1000), AttemptOutcome::Failed);
      CPPUNIT_ASSERT_EQUAL(0U, Subject.Limiter.limit(Subject.Now));
      const Duration Backoff = Subject.Limiter.probeTime() - Subject.Now;
      // Draw 0.5 of a bound that doubles from 50 ms up to 2 s.
      CPPUNIT_ASSERT(Backoff == std::min(Duration(25'000) * (1 << Attempt), Duration(1'000'000)));
      CPPUNIT_ASSERT(Backoff >= Last);
      Last = Backoff;
      Subject.Now = Subject.Limiter.probeTime();
      CPPUNIT_ASSERT_EQUAL(1U, Subject.Limiter.limit(Subject.Now));
    }
    Subject.rounds(200, Normal);
    CPPUNIT_ASSERT_EQUAL(3U, Subject.Limiter.limit(Subject.Now));
  }

  /// Guards against new work behind a request that hangs.
  void overdueWork() {
    Driver Subject;
    Subject.rounds(40, Normal);
    Subject.Limiter.onStart(1'000, 1, Subject.Now);
    CPPUNIT_ASSERT(Subject.Limiter.mayStart(1, false, Subject.Now + 6 * Normal));
    CPPUNIT_ASSERT(Subject.Limiter.suspicious(Subject.Now + 6 * Normal));
    CPPUNIT_ASSERT(!Subject.Limiter.mayStart(1, false, Subject.Now + 8 * Normal));
  }

  /// Guards against a long download that blocks its target although the answer began in time.
  void longBody() {
    Driver Subject;
    Subject.rounds(40, Normal);
    Subject.Limiter.onStart(1'000, 1, Subject.Now);
    Subject.Limiter.onFirstByte(1'000);
    Subject.Now += 500 * Normal;
    CPPUNIT_ASSERT(Subject.Limiter.mayStart(1, false, Subject.Now));
    Subject.Limiter.onEnd(1'000, {AttemptOutcome::Succeeded, Normal, 500 * Normal, 0.5},
                          Subject.Now);
    CPPUNIT_ASSERT_EQUAL(3U, Subject.Limiter.limit(Subject.Now));
  }

  /// Guards against a slow target that keeps a steady share of the work, and against one that
  /// never returns to use.
  void slowTargetIsProbed() {
    Driver Subject;
    Subject.rounds(40, Normal);
    Subject.rounds(3, 10 * Normal);
    CPPUNIT_ASSERT(Subject.Limiter.slow());
    CPPUNIT_ASSERT(!Subject.Limiter.mayStart(0, false, Subject.Now));
    CPPUNIT_ASSERT(Subject.Limiter.mayStart(0, true, Subject.Now));
    Subject.Now = Subject.Limiter.probeTime();
    CPPUNIT_ASSERT(Subject.Limiter.mayStart(0, false, Subject.Now));
    CPPUNIT_ASSERT(!Subject.Limiter.mayStart(1, false, Subject.Now));
    Subject.rounds(4, Normal);
    CPPUNIT_ASSERT(!Subject.Limiter.slow());
    Subject.rounds(20, Normal);
    CPPUNIT_ASSERT_EQUAL(3U, Subject.Limiter.limit(Subject.Now));
  }

  /// Guards against false alarms on exponential service times, and against late detection.
  void exponentialAnswers() {
    checkProperty("exponential answers cut rarely; ten times slower ones are found", [] {
      std::mt19937_64 Engine(*rc::gen::arbitrary<std::uint32_t>());
      std::exponential_distribution<double> Draw(1 / Mean);
      Driver Subject;
      Subject.rounds(40, Normal);
      for (int Index = 0; Index < 300; ++Index) {
        Subject.single(Draw(Engine));
        RC_ASSERT(!Subject.Limiter.slow());
      }
      int Answers = 0;
      while (!Subject.Limiter.slow()) {
        Subject.single(10 * Draw(Engine));
        RC_ASSERT(++Answers < 40);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimiterTest);
