#include "RetryFleet.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilsaddle;
using namespace std::chrono_literals;

class RetryBudgetPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetPartsTest);
  CPPUNIT_TEST(partedAcrossRegions);
  CPPUNIT_TEST(allRestartedWhilePartedAcrossRegions);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a larger share in a part of the fleet that holds entries of all regions.
  void partedAcrossRegions() {
    RetryFleet Fleet;
    Fleet.setPartedAcrossRegions();
    Fleet.advance(30s);
    Fleet.takeAllEverywhere();
    CPPUNIT_ASSERT_EQUAL(std::string(), Fleet.exceeded());
  }

  /// Guards against the same where no entry remembers those of the other parts.
  void allRestartedWhilePartedAcrossRegions() {
    RetryFleet Fleet;
    Fleet.setPartedAcrossRegions();
    Fleet.restartAll();
    Fleet.advance(30s);
    Fleet.takeAllEverywhere();
    CPPUNIT_ASSERT_EQUAL(std::string(), Fleet.exceeded());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetPartsTest);
