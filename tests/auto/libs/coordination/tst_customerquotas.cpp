#include "Property.h"
#include "QuotaHarness.h"

#include <cmath>
#include <functional>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSize = 127;
const TimePoint Start{1000s};
const CustomerName Known("c");

/// From the largest to the smallest customer.
const std::vector<std::string> Flooding = {"customer-0",  "customer-3",  "customer-4",
                                           "customer-10", "customer-30", "customer-81"};

QuotaHarness makeFleet(std::size_t Regions, unsigned Seed) {
  QuotaHarness Result(FleetSize, Regions, Seed);
  addUsualCustomers(Result);
  return Result;
}

void flood(QuotaHarness &Fleet, const std::vector<std::size_t> &Entries) {
  for (const std::string &Each : Flooding) {
    Fleet.setLoad(Each, {FloodPerLoad * usualLoads().at(Each), Entries});
  }
}

void assertWithinBound(const QuotaHarness &Fleet, const std::string &Case) {
  for (const std::string &Each : Fleet.customerNames()) {
    const auto Admitted = static_cast<double>(Fleet.maxInWindow(Each));
    std::string Text = Case;
    Text.append(", ").append(Each).append(": ").append(std::to_string(Admitted));
    Text.append(" of at most ").append(std::to_string(Fleet.bound(Each)));
    CPPUNIT_ASSERT_MESSAGE(Text, Admitted <= Fleet.bound(Each));
  }
}

std::map<CustomerName, Customer> oneCustomer(double Rate, double Burst) {
  Customer Result;
  Result.Name = Known;
  Result.RequestsPerSecond = Rate;
  Result.Burst = Burst;
  return {{Known, Result}};
}

} // namespace

class CustomerQuotasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerQuotasTest);
  CPPUNIT_TEST(customersWithoutLimit);
  CPPUNIT_TEST(loneEntry);
  CPPUNIT_TEST(startingEntry);
  CPPUNIT_TEST(refundedRequests);
  CPPUNIT_TEST(usualLoadIsAdmitted);
  CPPUNIT_TEST(boundHoldsInFloods);
  CPPUNIT_TEST(boundHoldsForAnyFault);
  CPPUNIT_TEST(floodGetsTheLimit);
  CPPUNIT_TEST(retryAfterIsTrue);
  CPPUNIT_TEST(loweredLimit);
  CPPUNIT_TEST(newCoordinatorsContinueTheRestriction);
  CPPUNIT_TEST(messageCount);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against limits for customers that have none, or that the configuration lacks.
  void customersWithoutLimit() {
    CustomerQuotas Quotas("a", 1, {}, Start);
    Quotas.setCustomers(oneCustomer(0, 0), Start);
    for (int Count = 0; Count < 10'000; ++Count) {
      CPPUNIT_ASSERT(Quotas.admit(Known, Start).IsAdmitted);
      CPPUNIT_ASSERT(Quotas.admit(CustomerName("unknown"), Start).IsAdmitted);
    }
    CPPUNIT_ASSERT(!Quotas.nextTick());
  }

  /// Guards against a single entry that exceeds the limit, refuses below it, or names a time at
  /// which it refuses again.
  void loneEntry() {
    CustomerQuotas Quotas("a", 1, {}, Start);
    Quotas.setCustomers(oneCustomer(10, 10), Start);
    TimePoint Now = Start + 10s;
    int Admitted = 0;
    for (int Step = 0; Step < 2000; ++Step, Now += 5ms) {
      const QuotaDecision Decision = Quotas.admit(Known, Now);
      Admitted += Decision.IsAdmitted ? 1 : 0;
      if (!Decision.IsAdmitted) {
        CPPUNIT_ASSERT(Decision.Reason == QuotaReason::EntryLimit);
        CPPUNIT_ASSERT_EQUAL(10.0, Decision.RequestsPerSecond);
        Now += Decision.RetryAfter;
        CPPUNIT_ASSERT(Quotas.admit(Known, Now).IsAdmitted);
        ++Admitted;
      }
    }
    const double Seconds = std::chrono::duration<double>(Now - Start - 10s).count();
    CPPUNIT_ASSERT(Admitted >= 9 * Seconds);
    CPPUNIT_ASSERT(Admitted <= 10 * Seconds + 10 + 20);
  }

  /// Guards against a Retry-After that is derived from the small limit of a starting entry and so
  /// is far too long.
  void startingEntry() {
    CustomerQuotas Quotas("a", 1, {}, Start);
    Quotas.setCustomers(oneCustomer(1, 1), Start);
    CPPUNIT_ASSERT(Quotas.admit(Known, Start + 100ms).IsAdmitted);
    const QuotaDecision Decision = Quotas.admit(Known, Start + 200ms);
    CPPUNIT_ASSERT(!Decision.IsAdmitted);
    CPPUNIT_ASSERT(Decision.RetryAfter <= 2s);
    CPPUNIT_ASSERT(Quotas.admit(Known, Start + 200ms + Decision.RetryAfter).IsAdmitted);
  }

  /// Guards against requests that no target runs and that still use up the quota.
  void refundedRequests() {
    CustomerQuotas Quotas("a", 1, {}, Start);
    Quotas.setCustomers(oneCustomer(10, 10), Start);
    for (int Count = 0; Count < 1000; ++Count) {
      CPPUNIT_ASSERT(Quotas.admit(Known, Start + 10s).IsAdmitted);
      Quotas.refund(Known, Start + 10s);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, Quotas.admit(Known, Start + 10s).RecentlyAdmitted);
    Quotas.refund(CustomerName("unknown"), Start + 10s);
  }

  /// Guards against refusals of customers that are below their limits: a fixed share of each entry
  /// would refuse nearly all, as most entries get less than one request of a customer per second.
  void usualLoadIsAdmitted() {
    QuotaHarness Fleet = makeFleet(3, 21);
    const auto CheckRefused = [&Fleet](const std::string &Case, Duration Time,
                                       double MaxPart = 0.005) {
      const TimePoint From = Fleet.now();
      const std::size_t Before = Fleet.requests();
      Fleet.run(Time);
      const auto Refused = static_cast<double>(Fleet.refusedSince(From));
      const auto Requests = static_cast<double>(Fleet.requests() - Before);
      CPPUNIT_ASSERT_MESSAGE(Case + ": " + std::to_string(Refused) + " of " +
                                 std::to_string(Requests),
                             Refused <= MaxPart * Requests);
    };
    CheckRefused("start", 5s);
    CheckRefused("steady", 15s);
    Fleet.restartAll(1s);
    CheckRefused("restart of all", 5s);
    CheckRefused("after the restart", 10s);
    for (std::size_t Index = 0; Index < 5; ++Index) {
      Fleet.kill(Index * 10);
      CheckRefused("death of an entry", 3s);
    }
    Fleet.setParts([](std::size_t Index) { return Index % 3; });
    // A region on its own has its share of the limits only, and learns late that it is not alone.
    CheckRefused("three regions", 15s, 0.01);
    Fleet.setParts(nullptr);
    CheckRefused("regions together again", 10s, 0.01);
    assertWithinBound(Fleet, "usual load");
  }

  /// Guards against more requests than the bound while entries know too little of each other.
  void boundHoldsInFloods() {
    struct Case {
      std::string Name;
      std::function<void(QuotaHarness &)> Play;
    };
    const auto ByRegion = [](std::size_t Index) { return Index % 3; };
    const auto InHalves = [](std::size_t Index) { return Index * 7 / 3 % 2; };
    const auto IsCutOff = [](std::size_t Index) { return std::size_t{Index == 3}; };
    const auto Pause = [](QuotaHarness &Fleet) {
      for (std::size_t Index = 0; Index < FleetSize; Index += 4) {
        Fleet.pause(Index);
      }
    };
    const std::vector<Case> Table = {
        {"flood", [](QuotaHarness &Fleet) { Fleet.run(20s); }},
        {"three regions, and together again",
         [&](QuotaHarness &Fleet) {
           Fleet.run(5s);
           Fleet.setParts(ByRegion);
           Fleet.run(12s);
           Fleet.setParts(nullptr);
           Fleet.run(8s);
         }},
        {"two parts, and together again",
         [&](QuotaHarness &Fleet) {
           Fleet.run(8s);
           Fleet.setParts(InHalves);
           Fleet.run(12s);
           Fleet.setParts(nullptr);
           Fleet.run(8s);
         }},
        {"one entry cut off",
         [&](QuotaHarness &Fleet) {
           Fleet.run(5s);
           Fleet.setParts(IsCutOff);
           Fleet.run(12s);
         }},
        {"entry cut off when the flood begins",
         [&](QuotaHarness &Fleet) {
           Fleet.setParts(IsCutOff);
           Fleet.run(12s);
         }},
        {"regions cut off when the flood begins",
         [&](QuotaHarness &Fleet) {
           Fleet.setParts(ByRegion);
           Fleet.run(12s);
         }},
        {"restart of all",
         [](QuotaHarness &Fleet) {
           Fleet.run(5s);
           Fleet.restartAll(1s);
           Fleet.run(10s);
         }},
        {"restart of some",
         [](QuotaHarness &Fleet) {
           Fleet.run(3s);
           for (std::size_t Index = 0; Index < FleetSize; Index += 3) {
             Fleet.start(Index);
             Fleet.run(200ms);
           }
         }},
        {"restart of all when the flood begins",
         [](QuotaHarness &Fleet) {
           Fleet.restartAll(0s);
           Fleet.run(10s);
         }},
        {"death of a quarter",
         [](QuotaHarness &Fleet) {
           Fleet.run(3s);
           for (std::size_t Index = 0; Index < FleetSize; Index += 4) {
             Fleet.kill(Index);
           }
           Fleet.run(12s);
         }},
        {"pause of a quarter when the flood begins",
         [&](QuotaHarness &Fleet) {
           Pause(Fleet);
           Fleet.run(3s);
           for (std::size_t Index = 0; Index < FleetSize; Index += 4) {
             Fleet.resume(Index);
           }
           Fleet.run(10s);
         }},
        {"three quarters more entries",
         [](QuotaHarness &Fleet) {
           Fleet.run(5s);
           for (std::size_t Count = 0; Count < FleetSize * 3 / 4; ++Count) {
             Fleet.addEntry();
           }
           Fleet.run(12s);
         }},
        {"lost, repeated and late messages",
         [](QuotaHarness &Fleet) {
           Fleet.Link = {0.1, 0.1, 100ms};
           Fleet.run(20s);
         }},
    };
    unsigned Seed = 100;
    for (const Case &Each : Table) {
      for (const std::vector<std::size_t> &Entries :
           {std::vector<std::size_t>{}, std::vector<std::size_t>{3, 50, 90}}) {
        QuotaHarness Fleet = makeFleet(3, ++Seed);
        Fleet.run(8s);
        flood(Fleet, Entries);
        Each.Play(Fleet);
        assertWithinBound(Fleet, Each.Name + (Entries.empty() ? ", all entries" : ", few entries"));
      }
    }
  }

  /// Guards against faults in combinations that no case of the table has.
  void boundHoldsForAnyFault() {
    checkProperty("the bound holds for any small fleet and network", [] {
      const auto Entries = *rc::gen::inRange<std::size_t>(1, 30);
      const auto Regions = *rc::gen::inRange<std::size_t>(1, 4);
      QuotaHarness Fleet(Entries, Regions, *rc::gen::arbitrary<unsigned>());
      Fleet.Link = {*rc::gen::inRange(0, 15) / 100.0, *rc::gen::inRange(0, 20) / 100.0,
                    std::chrono::milliseconds(*rc::gen::inRange(0, 100))};
      const double Rate = *rc::gen::inRange(1, 60);
      Fleet.setCustomer("c", Rate, Rate);
      Fleet.setLoad("c", {Rate / LimitPerLoad});
      Fleet.run(4s);
      Fleet.setLoad("c", {FloodPerLoad * Rate / LimitPerLoad});
      Fleet.run(3s);
      const auto Fault = *rc::gen::inRange(0, 4);
      const auto Victim = *rc::gen::inRange<std::size_t>(0, Entries);
      if (Fault == 0) {
        Fleet.kill(Victim);
      } else if (Fault == 1) {
        Fleet.start(Victim);
      } else if (Fault == 2) {
        Fleet.setParts([Victim](std::size_t Index) { return std::size_t{Index == Victim}; });
      }
      Fleet.run(10s);
      RC_ASSERT(static_cast<double>(Fleet.maxInWindow("c")) <= Fleet.bound("c"));
    });
  }

  /// Guards against a restriction that takes more than the limit demands.
  void floodGetsTheLimit() {
    for (const std::vector<std::size_t> &Entries :
         {std::vector<std::size_t>{}, std::vector<std::size_t>{3, 50, 90}}) {
      QuotaHarness Fleet = makeFleet(3, 31);
      Fleet.run(8s);
      flood(Fleet, Entries);
      Fleet.run(3s);
      const TimePoint From = Fleet.now();
      Fleet.run(30s);
      for (const std::string &Each : Flooding) {
        const double Rate = LimitPerLoad * usualLoads().at(Each);
        const double Admitted = static_cast<double>(Fleet.admittedSince(Each, From)) / 30;
        CPPUNIT_ASSERT_MESSAGE(Each + ": " + std::to_string(Admitted) + " of " +
                                   std::to_string(Rate) + " per second",
                               Admitted >= 0.9 * Rate);
      }
    }
  }

  /// Guards against a Retry-After at which a customer that has returned to its usual load is
  /// refused again.
  void retryAfterIsTrue() {
    QuotaHarness Fleet = makeFleet(3, 41);
    Fleet.run(5s);
    flood(Fleet, {});
    Fleet.run(10s);
    Duration RetryAfter{0};
    for (std::size_t Index = 0; Index < FleetSize; ++Index) {
      RetryAfter =
          std::max(RetryAfter, Fleet.request(CustomerName("customer-3"), Index).RetryAfter);
    }
    CPPUNIT_ASSERT(RetryAfter > 1s);
    CPPUNIT_ASSERT(RetryAfter <= Fleet.Bounds.Window + 1s);
    Fleet.setLoad("customer-3", {usualLoads().at("customer-3")});
    Fleet.run(RetryAfter);
    const TimePoint From = Fleet.now();
    Fleet.run(5s);
    const auto Refused = static_cast<double>(Fleet.refusedSince("customer-3", From));
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(Refused),
        Refused <= 0.05 * (Refused + static_cast<double>(Fleet.admittedSince("customer-3", From))));
  }

  /// Guards against a lowered limit that does not bind one window after all entries have it.
  void loweredLimit() {
    QuotaHarness Fleet = makeFleet(3, 51);
    Fleet.run(10s);
    const double Rate = usualLoads().at("customer-0") / 4;
    Fleet.setCustomer("customer-0", Rate, Rate);
    Fleet.run(Fleet.Bounds.Window);
    for (int Count = 0; Count < 10; ++Count) {
      const TimePoint From = Fleet.now();
      Fleet.run(Fleet.Bounds.Window);
      CPPUNIT_ASSERT(static_cast<double>(Fleet.admittedSince("customer-0", From)) <=
                     Fleet.bound("customer-0"));
    }
  }

  /// Guards against a new coordinator that ends a restriction before the entries have reported to
  /// it.
  void newCoordinatorsContinueTheRestriction() {
    QuotaHarness Fleet = makeFleet(3, 61);
    Fleet.run(5s);
    flood(Fleet, {});
    for (int Round = 0; Round < 4; ++Round) {
      Fleet.run(4s);
      for (std::size_t Index = 0; Index < FleetSize / 10; ++Index) {
        Fleet.kill((Index * 10 + static_cast<std::size_t>(Round)) % FleetSize);
      }
    }
    Fleet.run(8s);
    assertWithinBound(Fleet, "a tenth of the entries dies every 4 s");
  }

  /// Guards against more control traffic than about a datagram for each request.
  void messageCount() {
    QuotaHarness Fleet = makeFleet(3, 71);
    Fleet.run(5s);
    const auto RatioOver = [&Fleet](Duration Time) {
      const std::size_t Messages = Fleet.MessageCount;
      const std::size_t Requests = Fleet.requests();
      Fleet.run(Time);
      return static_cast<double>(Fleet.MessageCount - Messages) /
             static_cast<double>(Fleet.requests() - Requests);
    };
    const double Usual = RatioOver(30s);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Usual), Usual <= 1.15);
    flood(Fleet, {});
    const double Flood = RatioOver(30s);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Flood), Flood <= 1.5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerQuotasTest);
