#include "Property.h"
#include "coordination/limits/RequestRateLimiter.h"

#include <cmath>
#include <deque>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1s};
const TargetName Limited("t1");

std::vector<std::string> entryNames(std::size_t Count) {
  std::vector<std::string> Result;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Result.push_back("10.0.0." + std::to_string(Index));
  }
  return Result;
}

std::vector<RequestRateLimiter> makeFleet(std::size_t Count) {
  std::vector<RequestRateLimiter> Result;
  for (const std::string &Each : entryNames(Count)) {
    Result.emplace_back(Each);
    Result.back().setEntries(entryNames(Count));
  }
  return Result;
}

/// Sends whatever the limiters allow. Returns the number of requests.
std::size_t sendAll(std::vector<RequestRateLimiter> &Fleet, double Limit, TimePoint Now) {
  std::size_t Result = 0;
  for (RequestRateLimiter &Each : Fleet) {
    while (Each.maySend(Limited, Limit, Now)) {
      Each.onSent(Limited, Limit, Now);
      ++Result;
    }
  }
  return Result;
}

} // namespace

class RequestRateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestRateLimiterTest);
  CPPUNIT_TEST(fleetKeepsTheLimit);
  CPPUNIT_TEST(burstsStayWithinTheTolerance);
  CPPUNIT_TEST(noRequestsAtLimitZero);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a sum over the fleet that differs from the limit while all entries send
  /// whatever they may.
  void fleetKeepsTheLimit() {
    for (const std::size_t Entries : {1, 7, 46}) {
      for (const double Limit : {0.3, 1.2, 2.4, 6.0, 40.0}) {
        std::vector<RequestRateLimiter> Fleet = makeFleet(Entries);
        sendAll(Fleet, Limit, Start);
        std::size_t Count = 0;
        for (TimePoint Now = Start; Now <= Start + 60s; Now += 10ms) {
          Count += sendAll(Fleet, Limit, Now);
        }
        const double PerSecond = static_cast<double>(Count) / 60;
        const std::string Message = std::to_string(Entries) + " entries, " + std::to_string(Limit) +
                                    ": " + std::to_string(PerSecond);
        CPPUNIT_ASSERT_MESSAGE(Message, PerSecond <= Limit + 0.01 && PerSecond >= 0.9 * Limit);
      }
    }
  }

  /// Guards against full buckets of all senders that exceed what a target tolerates, also when the
  /// limit falls, at the moment in which an idle target is needed again.
  void burstsStayWithinTheTolerance() {
    for (const std::size_t Entries : {1, 7, 46}) {
      for (const double Limit : {0.05, 0.3, 1.2, 2.4, 6.0, 40.0}) {
        std::vector<RequestRateLimiter> Fleet = makeFleet(Entries);
        sendAll(Fleet, 2 * Limit, Start);
        std::size_t Count = 0;
        for (TimePoint Now = Start + 100s; Now <= Start + 104s; Now += 10ms) {
          Count += sendAll(Fleet, Limit, Now);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Limit),
                               static_cast<double>(Count) <= 1.5 * Limit * 4 + 5);
      }
    }
  }

  /// Guards against requests to a target that accepts none, and against one that no entry sends to.
  void noRequestsAtLimitZero() {
    for (const double Limit : {0.0, 0.01, 1.0}) {
      std::vector<RequestRateLimiter> Fleet = makeFleet(9);
      CPPUNIT_ASSERT_EQUAL(Limit > 0, sendAll(Fleet, Limit, Start) > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRateLimiterTest);
