#include "DispatcherHarness.h"
#include "Property.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr Duration StepTime = 10ms;
/// The platform allows this many times the limit of a target, and some requests more, in any window
/// that begins after the entries have had time to learn the limit.
constexpr Duration Window = 4s;
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;

double allowedRequests(double LimitPerSecond) {
  return AllowedFactor * LimitPerSecond * std::chrono::duration<double>(Window).count() +
         AllowedExtra;
}

struct FleetScenario {
  const char *Name;
  std::size_t Entries;
  std::size_t Targets;
  /// Targets that demand the limit, those with the lowest numbers.
  std::size_t Limited;
  double LimitPerSecond;
  /// Requests per second of all entries.
  double RequestsPerSecond;
};

/// Entries of one region whose requests go to the same targets.
class Fleet {
public:
  explicit Fleet(const FleetScenario &Scenario) : Scenario(Scenario), Arrivals(Scenario.Targets) {
    std::vector<std::string> Names;
    for (std::size_t Index = 0; Index < Scenario.Entries; ++Index) {
      Names.push_back("10.0.0." + std::to_string(Index + 1));
    }
    for (std::size_t Index = 0; Index < Scenario.Entries; ++Index) {
      this->Entries.push_back(std::make_unique<DispatcherHarness>(Index + 1, Names[Index]));
      this->prepare(*this->Entries.back(), Names);
    }
  }

  /// Runs all entries, which get requests at random times.
  void run(Duration Time) {
    const double PerStep = this->Scenario.RequestsPerSecond *
                           std::chrono::duration<double>(StepTime).count() /
                           static_cast<double>(this->Scenario.Entries);
    for (Duration Elapsed{0}; Elapsed < Time; Elapsed += StepTime) {
      for (const auto &Each : this->Entries) {
        if (Each->Random.uniform() < PerStep) {
          Each->request(Each->attributes());
        }
        Each->run(StepTime);
      }
      this->checkWindows();
    }
  }

  void setLimited(bool IsEnabled) {
    this->AreLimitsNamed = IsEnabled;
    this->NamedSince = this->Entries.front()->Now;
  }

  /// Number of requests that the targets with a limit got, also while they did not demand it.
  std::size_t limitedArrivals() const { return this->LimitedArrivals; }
  /// Largest number of requests that a limited target got in a window.
  std::size_t busiestWindow() const { return this->BusiestWindow; }
  std::size_t refusedCount() const {
    std::size_t Result = 0;
    for (const auto &Each : this->Entries) {
      for (RequestNumber Number = 1; const auto *End = Each->completionOf(Number); ++Number) {
        Result += End->Refusal ? 1 : 0;
      }
    }
    return Result;
  }

private:
  static std::string targetName(std::size_t Index) { return "t" + std::to_string(Index); }
  static std::size_t indexOf(const TargetName &Name) { return std::stoul(Name.str().substr(1)); }

  TargetConditions conditionsOf(const TargetName &Name) const {
    TargetConditions Result;
    if (this->AreLimitsNamed && indexOf(Name) < this->Scenario.Limited) {
      Result.RequestLimit = this->Scenario.LimitPerSecond;
    }
    return Result;
  }

  void prepare(DispatcherHarness &Entry, const std::vector<std::string> &Names) {
    Entry.TestedDispatcher.setEntries(Names, Names.size());
    Entry.TestedDispatcher.setRetryShare({Names.size(), RetryShareReason::KnownEntries});
    for (std::size_t Index = 0; Index < this->Scenario.Targets; ++Index) {
      Entry.addTarget(targetName(Index), "a1");
    }
    Entry.OnProbe = [this](const TargetName &Name) {
      return ProbeReport{true, {0, 0, 3, 1}, true, 0s, this->conditionsOf(Name)};
    };
    Entry.OnSend = [this, &Entry](const SendAttempt &Send) {
      const std::size_t Index = indexOf(Send.Target);
      if (Index < this->Scenario.Limited) {
        this->Arrivals[Index].push_back(Entry.Now);
        ++this->LimitedArrivals;
      }
      return DispatcherHarness::AttemptBehavior{100ms, AttemptOutcome::Succeeded,
                                                this->conditionsOf(Send.Target)};
    };
    Entry.OnResponseLoad = [](const TargetName &) { return LoadReport{0, 0, 3, 1}; };
  }

  void checkWindows() {
    const TimePoint Now = this->Entries.front()->Now;
    for (std::deque<TimePoint> &Each : this->Arrivals) {
      while (!Each.empty() && Each.front() <= Now - Window) {
        Each.pop_front();
      }
      if (this->AreLimitsNamed && Now - this->NamedSince >= Window) {
        this->BusiestWindow = std::max(this->BusiestWindow, Each.size());
      }
    }
  }

  FleetScenario Scenario;
  std::vector<std::unique_ptr<DispatcherHarness>> Entries;
  std::vector<std::deque<TimePoint>> Arrivals;
  bool AreLimitsNamed = false;
  TimePoint NamedSince{};
  std::size_t LimitedArrivals = 0;
  std::size_t BusiestWindow = 0;
};

} // namespace

class RequestLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLimitsTest);
  CPPUNIT_TEST(allEntriesTogetherKeepTheLimitOfATarget);
  CPPUNIT_TEST(limitsAreUsedWhenNoOtherTargetHasRoom);
  CPPUNIT_TEST(otherRegionsSendNothingDirectly);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against targets that get more than they demand from all entries together, against
  /// refusals while other targets have room, and against limits that outlive the demand.
  void allEntriesTogetherKeepTheLimitOfATarget() {
    const FleetScenario Table[] = {
        {"small region", 7, 12, 8, 2.4, 75},   {"large region", 46, 53, 37, 1.2, 160},
        {"low limit", 46, 20, 14, 0.3, 160},   {"high limit", 7, 6, 4, 12, 75},
        {"nothing accepted", 7, 12, 8, 0, 75},
    };
    for (const FleetScenario &Each : Table) {
      Fleet Tested(Each);
      Tested.run(3s);
      Tested.setLimited(true);
      Tested.run(20s);
      assertWithinLimit(Tested, Each);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{0}, Tested.refusedCount());
      Tested.setLimited(false);
      Tested.run(2s);
      const std::size_t AfterLimits = Tested.limitedArrivals();
      Tested.run(3s);
      const double UsualShare = 3 * Each.RequestsPerSecond * static_cast<double>(Each.Limited) /
                                static_cast<double>(Each.Targets);
      CPPUNIT_ASSERT_MESSAGE(std::string(Each.Name) + " after the limits",
                             static_cast<double>(Tested.limitedArrivals() - AfterLimits) >=
                                 0.7 * UsualShare);
    }
  }

  /// Guards against callers that are refused although targets would accept their requests: all
  /// targets demand a limit, and together they accept half of the requests.
  void limitsAreUsedWhenNoOtherTargetHasRoom() {
    const FleetScenario Table[] = {
        {"small region", 7, 12, 12, 3.1, 75},
        {"large region", 46, 53, 53, 1.5, 160},
    };
    for (const FleetScenario &Each : Table) {
      Fleet Tested(Each);
      Tested.run(3s);
      Tested.setLimited(true);
      Tested.run(5s);
      const std::size_t Before = Tested.limitedArrivals();
      Tested.run(20s);
      assertWithinLimit(Tested, Each);
      const auto Served = static_cast<double>(Tested.limitedArrivals() - Before);
      const double Accepted = 20 * Each.LimitPerSecond * static_cast<double>(Each.Targets);
      CPPUNIT_ASSERT_MESSAGE(std::string(Each.Name) + " " + std::to_string(Served / Accepted),
                             Served >= 0.6 * Accepted);
    }
  }

  /// Guards against limits that entries of another region exceed because they don't share them.
  void otherRegionsSendNothingDirectly() {
    for (const std::optional<double> Limit : {std::optional<double>(), std::optional(100.0)}) {
      DispatcherHarness Entry;
      Entry.addTarget("remote", "b1");
      Entry.OnProbe = [Limit](const TargetName &) {
        return ProbeReport{true, {0, 0, 3, 1}, true, 0s, {Limit}};
      };
      const RequestNumber Number = Entry.request(Entry.attributes());
      Entry.run(3s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{Limit ? 0U : 1U}, Entry.sentOf(Number).size());
      CPPUNIT_ASSERT_EQUAL(Limit.has_value(), Entry.completionOf(Number)->Refusal.has_value());
    }
  }

private:
  static void assertWithinLimit(const Fleet &Tested, const FleetScenario &Scenario) {
    CPPUNIT_ASSERT_MESSAGE(
        std::string(Scenario.Name) + ": " + std::to_string(Tested.busiestWindow()),
        static_cast<double>(Tested.busiestWindow()) <= allowedRequests(Scenario.LimitPerSecond));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitsTest);
