#include "DispatcherHarness.h"
#include "Property.h"
#include "RetryFleet.h"

#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t EntryCount = RetryFleet::EntryCount;

/// A step of a drawn course: what happens, at which entry, how often or how long.
struct DrawnStep {
  int Action = 0;
  std::size_t Entry = 0;
  int Amount = 0;
};

[[maybe_unused]] std::ostream &operator<<(std::ostream &Out, const DrawnStep &Step) {
  return Out << Step.Action << '/' << Step.Entry << '/' << Step.Amount;
}

rc::Gen<DrawnStep> drawStep() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 11), rc::gen::inRange<std::size_t>(0, EntryCount),
                     rc::gen::inRange(1, 100)),
      [](const std::tuple<int, std::size_t, int> &Values) {
        return DrawnStep{std::get<0>(Values), std::get<1>(Values), std::get<2>(Values)};
      });
}

void apply(const DrawnStep &Step, RetryFleet &Fleet) {
  switch (Step.Action) {
  case 0:
  case 1:
    Fleet.advance(Step.Amount * 40ms);
    break;
  case 2:
    Fleet.advance(Step.Amount * 200ms);
    break;
  case 3:
    Fleet.request(Step.Entry, Step.Amount);
    break;
  case 4:
    for (std::size_t Index = 0; Index < Step.Entry; ++Index) {
      Fleet.request(Index, Step.Amount);
    }
    break;
  case 5:
    Fleet.restart(Step.Entry);
    break;
  case 6:
    for (std::size_t Index = 0; Index < Step.Entry; ++Index) {
      Fleet.restart(Index);
    }
    break;
  case 7:
    for (std::size_t Index = Step.Entry; Index < EntryCount; Index += 2) {
      Fleet.kill(Index);
    }
    break;
  case 8:
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      Fleet.start(Index);
    }
    break;
  case 9:
    Fleet.setRegionsParted(!Fleet.areRegionsParted());
    break;
  case 10:
    Fleet.setIsolated(Step.Entry, !Fleet.isIsolated(Step.Entry));
    break;
  default:
    break;
  }
}

} // namespace

class RetryBudgetFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetFleetTest);
  CPPUNIT_TEST(plainCases);
  CPPUNIT_TEST(drawnCourses);
  CPPUNIT_TEST(forwardedRequestsCountOnce);
  CPPUNIT_TEST(allowsRetriesWithoutDisruption);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against more retries than the limit of the fleet when the views of the entries differ.
  void plainCases() {
    struct Case {
      const char *Name;
      std::function<void(RetryFleet &)> Play;
    };
    const Case Table[] = {
        {"no disruption", [](RetryFleet &) {}},
        {"parted regions", [](RetryFleet &Fleet) { Fleet.setRegionsParted(true); }},
        {"parted regions for long",
         [](RetryFleet &Fleet) {
           Fleet.setRegionsParted(true);
           Fleet.advance(15min);
         }},
        {"heartbeats lost",
         [](RetryFleet &Fleet) {
           for (std::size_t Index = 0; Index < EntryCount; ++Index) {
             Fleet.setIsolated(Index, true);
           }
         }},
        {"half dies",
         [](RetryFleet &Fleet) {
           Fleet.takeAllEverywhere();
           for (std::size_t Index = 0; Index < EntryCount; Index += 2) {
             Fleet.kill(Index);
           }
         }},
        {"two regions die",
         [](RetryFleet &Fleet) {
           Fleet.takeAllEverywhere();
           for (std::size_t Index = 0; Index < EntryCount * 2 / 3; ++Index) {
             Fleet.kill(Index);
           }
         }},
        {"all restarted", [](RetryFleet &Fleet) { Fleet.restartAll(); }},
        {"all restarted and discovered",
         [](RetryFleet &Fleet) {
           Fleet.takeAllEverywhere();
           Fleet.restartAll();
           Fleet.advance(2s);
         }},
        {"restarted in series",
         [](RetryFleet &Fleet) {
           for (std::size_t Index = 0; Index < EntryCount; ++Index) {
             Fleet.takeAllEverywhere();
             Fleet.restart(Index);
             Fleet.restart((Index + 1) % EntryCount);
             Fleet.advance(1s);
           }
         }},
        {"all restarted while regions are parted",
         [](RetryFleet &Fleet) {
           Fleet.setRegionsParted(true);
           Fleet.restartAll();
           Fleet.advance(30s);
         }},
        {"requests move to other entries",
         [](RetryFleet &Fleet) {
           for (std::size_t Index = 0; Index < EntryCount / 2; ++Index) {
             Fleet.request(Index, 100);
           }
           Fleet.advance(9900ms);
           Fleet.takeAllEverywhere();
           Fleet.advance(200ms);
           for (std::size_t Index = EntryCount / 2; Index < EntryCount; ++Index) {
             Fleet.request(Index, 100);
           }
         }},
    };
    std::string Exceeded;
    for (const Case &Each : Table) {
      RetryFleet Fleet;
      Each.Play(Fleet);
      Fleet.takeAllEverywhere();
      if (!Fleet.exceeded().empty()) {
        Exceeded += std::string("\n") + Each.Name + ": " + Fleet.exceeded();
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Exceeded);
  }

  /// Guards against the same in drawn courses of requests, restarts, deaths, parted regions and
  /// lost heartbeats.
  void drawnCourses() {
    checkProperty("retries of the fleet are bounded", [] {
      const auto Steps = *rc::gen::container<std::vector<DrawnStep>>(drawStep());
      RetryFleet Fleet;
      for (const DrawnStep &Step : Steps) {
        apply(Step, Fleet);
        Fleet.takeAllEverywhere();
      }
      RC_ASSERT(Fleet.exceeded() == std::string());
    });
  }

  /// Guards against a forwarded request that allows retries at the entry that forwards it and again
  /// at the entry that sends it to a target.
  void forwardedRequestsCountOnce() {
    struct Case {
      const char *Name;
      /// Whether the first attempt is sent to a target before the request is forwarded.
      bool IsRetry;
    };
    const Case Table[] = {{"forwarded at once", false}, {"forwarded after a failure", true}};
    constexpr std::size_t RequestCount = 100;
    std::string Counted;
    for (const Case &Each : Table) {
      DispatcherHarness First(1, "10.0.0.1");
      DispatcherHarness Second(2, "10.2.0.1");
      Second.addTarget("near", "a1");
      First.addTarget("far", "b1");
      if (Each.IsRetry) {
        First.addTarget("failing", "a1");
      }
      First.TestedDispatcher.setRemoteEntries({{RegionName("b"), {{"10.2.0.1", 7200}}}});
      First.OnSend = [&](const SendAttempt &Send) {
        if (!Send.Forward) {
          return DispatcherHarness::AttemptBehavior{1ms, AttemptOutcome::TargetError};
        }
        RequestAttributes Forwarded = Second.attributes();
        Forwarded.CameFromOtherEntry = true;
        Second.request(Forwarded);
        return DispatcherHarness::AttemptBehavior{};
      };
      for (std::size_t Index = 0; Index < RequestCount; ++Index) {
        First.request(First.attributes());
        First.run(5ms);
        Second.run(5ms);
      }
      std::size_t Sum = 0;
      for (DispatcherHarness *Harness : {&First, &Second}) {
        for (const auto &[Service, Usage] : Harness->TestedDispatcher.retryUsages(Harness->Now)) {
          Sum += Usage.Requests;
        }
      }
      if (Sum != RequestCount) {
        Counted += std::string("\n") + Each.Name + ": " + std::to_string(Sum);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Counted);
  }

  /// Guards against a budget that keeps the limit because it allows hardly any retry.
  void allowsRetriesWithoutDisruption() {
    constexpr int RequestsInWindow = 50;
    RetryFleet Fleet;
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      Fleet.request(Index, RequestsInWindow);
    }
    Fleet.takeAllEverywhere();
    const double Allowed =
        RetryFleet::Limits.Ratio * RequestsInWindow * EntryCount + RetryFleet::Limits.BaseRetries;
    CPPUNIT_ASSERT(static_cast<double>(Fleet.retryCount()) >= Allowed / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetFleetTest);
