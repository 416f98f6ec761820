#include "Property.h"
#include "coordination/limits/ColdStartLimiter.h"
#include "model/SeededRandom.h"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1s};

std::vector<std::string> entryNames(std::size_t First, std::size_t Count) {
  std::vector<std::string> Result;
  for (std::size_t Index = First; Index < First + Count; ++Index) {
    Result.push_back("10.0.0." + std::to_string(Index));
  }
  return Result;
}

} // namespace

class ColdStartLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdStartLimiterTest);
  CPPUNIT_TEST(fleetStaysWithinLimit);
  CPPUNIT_TEST(everyTargetHasASender);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an overloaded cold target: all entries send as often as they may, also while a
  /// network partition separates two halves of the fleet.
  void fleetStaysWithinLimit() {
    struct Case {
      const char *Name;
      std::size_t Entries;
      bool Partitioned;
      double ColdRate;
      ColdStartLimits Limits;
    };
    const Case Table[] = {
        {"small fleet", 7, false, 4, {1.5, 5}},
        {"large fleet", 46, false, 4, {1.5, 8}},
        {"partitioned fleet", 46, true, 4, {1.5, 8}},
        {"small partitioned fleet", 7, true, 4, {1.5, 5}},
        {"low rate", 46, false, 0.5, {1.0, 1}},
    };
    SeededRandom Random(5);
    for (const Case &Each : Table) {
      const double FleetLimit = Each.ColdRate * Each.Limits.BurstFactor + Each.Limits.Slack;
      std::vector<ColdStartLimiter> Fleet;
      const std::size_t HalfSize = Each.Entries / 2;
      for (std::size_t Index = 0; Index < Each.Entries; ++Index) {
        Fleet.emplace_back(Each.Limits, entryNames(Index, 1).front());
        const bool IsFirstHalf = Index < HalfSize;
        Fleet.back().setEntries(Each.Partitioned
                                    ? entryNames(IsFirstHalf ? 0 : HalfSize,
                                                 IsFirstHalf ? HalfSize : Each.Entries - HalfSize)
                                    : entryNames(0, Each.Entries));
      }
      const TargetName Cold("cold");
      std::deque<TimePoint> Sent;
      for (TimePoint Now = Start; Now < Start + 5s; Now += 10ms) {
        for (ColdStartLimiter &Limiter : Fleet) {
          if (Random.uniform() < 0.7 && Limiter.maySend(Cold, Each.ColdRate, Now)) {
            Limiter.onSent(Cold, Now);
            Sent.push_back(Now);
          }
        }
        while (!Sent.empty() && Sent.front() <= Now - 1s) {
          Sent.pop_front();
        }
        CPPUNIT_ASSERT_MESSAGE(Each.Name, static_cast<double>(Sent.size()) <= FleetLimit);
      }
    }
  }

  /// Guards against cold targets that no entry sends requests to.
  void everyTargetHasASender() {
    for (int Index = 0; Index < 50; ++Index) {
      const TargetName Cold("t" + std::to_string(Index));
      int Senders = 0;
      for (const std::string &Name : entryNames(0, 9)) {
        ColdStartLimiter Limiter({1.5, 0}, Name);
        Limiter.setEntries(entryNames(0, 9));
        Senders += Limiter.maySend(Cold, 0.1, Start) ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(1, Senders);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStartLimiterTest);
