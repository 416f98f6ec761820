#include "Property.h"
#include "QuotaHarness.h"

#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

QuotaHarness makeFleet(unsigned Seed) {
  QuotaHarness Result(127, 3, Seed);
  addUsualCustomers(Result);
  Result.run(8s);
  return Result;
}

void flood(QuotaHarness &Fleet) {
  for (const char *Each :
       {"customer-0", "customer-3", "customer-4", "customer-10", "customer-30"}) {
    Fleet.setLoad(Each, {FloodPerLoad * usualLoads().at(Each)});
  }
}

std::size_t partOf(std::size_t Index) { return Index * 7 / 3 % 2; }

/// Describes the customers that exceed their bounds.
std::string exceeded(const QuotaHarness &Fleet, unsigned Seed) {
  std::string Result;
  for (const std::string &Each : Fleet.customerNames()) {
    const auto Admitted = static_cast<double>(Fleet.maxInWindow(Each));
    if (Admitted > Fleet.bound(Each)) {
      Result.append("\nseed ").append(std::to_string(Seed)).append(", ").append(Each);
      Result.append(": ").append(std::to_string(Admitted));
      Result.append(" of at most ").append(std::to_string(Fleet.bound(Each)));
    }
  }
  return Result;
}

} // namespace

class QuotaOnsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaOnsetTest);
  CPPUNIT_TEST(floodBeginsWithPartition);
  CPPUNIT_TEST(partitionDuringFlood);
  CPPUNIT_TEST(restartDuringFlood);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against more requests than the bound if a flood begins at the moment in which the
  /// regions are divided into two parts, before the membership notices it.
  void floodBeginsWithPartition() {
    std::string Exceeded;
    for (unsigned Seed = 1; Seed <= 3; ++Seed) {
      QuotaHarness Fleet = makeFleet(Seed);
      flood(Fleet);
      Fleet.setParts(partOf);
      Fleet.run(12s);
      Exceeded += exceeded(Fleet, Seed);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Exceeded);
  }

  /// Guards against more requests than the bound if the regions are divided during a flood.
  void partitionDuringFlood() {
    std::string Exceeded;
    for (unsigned Seed = 1; Seed <= 8; ++Seed) {
      QuotaHarness Fleet = makeFleet(Seed);
      flood(Fleet);
      Fleet.run(10s);
      Fleet.setParts(partOf);
      Fleet.run(12s);
      Exceeded += exceeded(Fleet, Seed);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Exceeded);
  }

  /// Guards against more requests than the bound if all entries restart during a flood.
  void restartDuringFlood() {
    std::string Exceeded;
    for (unsigned Seed = 1; Seed <= 8; ++Seed) {
      QuotaHarness Fleet = makeFleet(Seed);
      flood(Fleet);
      Fleet.run(10s);
      Fleet.restartAll(1s);
      Fleet.run(10s);
      Exceeded += exceeded(Fleet, Seed);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Exceeded);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaOnsetTest);
