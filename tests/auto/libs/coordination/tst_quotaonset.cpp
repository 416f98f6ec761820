#include "Property.h"
#include "QuotaHarness.h"

#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

class QuotaOnsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaOnsetTest);
  CPPUNIT_TEST(floodBeginsWithPartition);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against more requests than the bound if a flood begins at the moment in which the
  /// regions are divided into two parts, before the membership notices it.
  void floodBeginsWithPartition() {
    std::string Exceeded;
    for (unsigned Seed = 1; Seed <= 3; ++Seed) {
      QuotaHarness Fleet(127, 3, Seed);
      addUsualCustomers(Fleet);
      Fleet.run(8s);
      for (const char *Each :
           {"customer-0", "customer-3", "customer-4", "customer-10", "customer-30"}) {
        Fleet.setLoad(Each, {FloodPerLoad * usualLoads().at(Each)});
      }
      Fleet.setParts([](std::size_t Index) { return Index * 7 / 3 % 2; });
      Fleet.run(12s);
      for (const std::string &Each : Fleet.customerNames()) {
        const auto Admitted = static_cast<double>(Fleet.maxInWindow(Each));
        if (Admitted > Fleet.bound(Each)) {
          Exceeded.append("\nseed ").append(std::to_string(Seed)).append(", ").append(Each);
          Exceeded.append(": ").append(std::to_string(Admitted));
          Exceeded.append(" of at most ").append(std::to_string(Fleet.bound(Each)));
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Exceeded);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaOnsetTest);
