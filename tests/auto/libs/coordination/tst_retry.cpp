#include "Property.h"
#include "coordination/RetryBudget.h"
#include "coordination/RetryPolicy.h"

using namespace anvilsaddle;

namespace {
const CustomerName Caller("t.a");
const ServiceName Service("s");
const TimePoint Start{std::chrono::seconds(1)};
} // namespace

class RetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryTest);
  CPPUNIT_TEST(decisions);
  CPPUNIT_TEST(delays);
  CPPUNIT_TEST(failingService);
  CPPUNIT_TEST(memory);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a second run of work that may have run, and against retries that can't help.
  void decisions() {
    using Change = void (*)(FailedAttempt &);
    struct Case {
      const char *Name;
      Change Apply;
      std::optional<NoRetry> Expected;
      bool Budget = true;
    };
    const Case Table[] = {
        {"repeatable", [](FailedAttempt &Each) { Each.Repeatable = true; }, {}},
        {"not run", [](FailedAttempt &Each) { Each.ProvablyNotRun = true; }, {}},
        {"may have run", [](FailedAttempt &) {}, NoRetry::MayHaveRun},
        {"permanent",
         [](FailedAttempt &Each) {
           Each.Repeatable = true;
           Each.Class = FailureClass::Permanent;
         },
         NoRetry::Permanent},
        {"answer started", [](FailedAttempt &Each) { Each.Repeatable = Each.AnswerStarted = true; },
         NoRetry::AnswerStarted},
        {"body not kept",
         [](FailedAttempt &Each) {
           Each.Repeatable = true;
           Each.BodyKept = false;
         },
         NoRetry::NoBody},
        {"third attempt",
         [](FailedAttempt &Each) {
           Each.Repeatable = true;
           Each.Attempts = 3;
         },
         NoRetry::Attempts},
        {"deadline before the delay",
         [](FailedAttempt &Each) {
           Each.Repeatable = true;
           Each.Deadline = Start + Duration(2'500);
         },
         NoRetry::Deadline},
        {"no budget", [](FailedAttempt &Each) { Each.Repeatable = true; }, NoRetry::Budget, false},
    };
    for (const Case &Each : Table) {
      FailedAttempt Failed;
      Failed.Target = TargetName("vm1/s");
      Failed.Excluded = {TargetName("vm2/s")};
      Failed.Deadline = Start + std::chrono::seconds(1);
      Each.Apply(Failed);
      int Taken = 0;
      const RetryDecision Decision = RetryPolicy::decide(Failed, 0.5, Start, [&] {
        ++Taken;
        return Each.Budget;
      });
      const NoRetry *Refused = std::get_if<NoRetry>(&Decision);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Refused ? Each.Expected == *Refused : !Each.Expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, !Refused || !Each.Budget ? 1 : 0, Taken);
      if (const RetryAt *Again = std::get_if<RetryAt>(&Decision)) {
        CPPUNIT_ASSERT(Again->Excluded == (std::set{TargetName("vm1/s"), TargetName("vm2/s")}));
        CPPUNIT_ASSERT(Again->When == Start + Duration(2'500));
      }
    }
  }

  /// Guards against delays outside full jitter.
  void delays() {
    const std::pair<std::uint32_t, Duration> Table[] = {
        {1, Duration(5'000)},   {2, Duration(10'000)},  {3, Duration(20'000)},
        {6, Duration(160'000)}, {7, Duration(200'000)}, {4'000'000'000U, Duration(200'000)}};
    for (const auto &[Attempts, Bound] : Table) {
      CPPUNIT_ASSERT(RetryPolicy::delay(Attempts, 0) == Duration(0));
      CPPUNIT_ASSERT(RetryPolicy::delay(Attempts, 0.5) == Bound / 2);
      CPPUNIT_ASSERT(RetryPolicy::delay(Attempts, 0.9999999) < Bound);
    }
  }

  /// Guards against a retry storm: retries under a fully failing service stay within a tenth of the
  /// first attempts plus one a second, whatever the order of calls.
  void failingService() {
    checkProperty("retries are bounded", [](const std::vector<std::uint16_t> &Gaps) {
      RetryBudget Budget;
      TimePoint Now = Start;
      double First = 0;
      double Retries = 0;
      for (const std::uint16_t Gap : Gaps) {
        Now += Duration(Gap);
        Budget.onFirstAttempt(Caller, Service, Now);
        ++First;
        while (Budget.tryTake(Caller, Service, Now)) {
          ++Retries;
        }
        const double Seconds = std::chrono::duration<double>(Now - Start).count();
        RC_ASSERT(Retries <= 0.1 * First + Seconds + 1 + 1e-6);
      }
    });
    RetryBudget Budget;
    for (int Index = 0; Index < 1'000'000; ++Index) {
      Budget.onFirstAttempt(Caller, Service, Start);
    }
    int Saved = 0;
    while (Budget.tryTake(Caller, Service, Start)) {
      ++Saved;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("savings are bounded", 10, Saved);
  }

  /// Guards against memory that grows with customers, and against one that stays full for ever.
  void memory() {
    RetryBudget Budget(10);
    TimePoint Now = Start;
    for (int Index = 0; Index < 100; ++Index) {
      Budget.onFirstAttempt(CustomerName("t.c" + std::to_string(Index)), Service, Now);
      CPPUNIT_ASSERT(Budget.size() <= 10);
    }
    CPPUNIT_ASSERT(!Budget.tryTake(Caller, Service, Now));
    Now += std::chrono::minutes(1);
    CPPUNIT_ASSERT(Budget.tryTake(Caller, Service, Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);
