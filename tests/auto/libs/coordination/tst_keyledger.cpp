#include "Property.h"
#include "coordination/KeyLedger.h"

#include <cstdint>
#include <vector>

using namespace anvilsaddle;

class KeyLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyLedgerTest);
  CPPUNIT_TEST(secondAdmission);
  CPPUNIT_TEST(capacityIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a repeated request that runs twice.
  void secondAdmission() {
    struct Case {
      const char *Name;
      KeyState First;
      KeyAdmission Expected;
    };
    const Case Table[] = {
        {"still running", KeyState::Started, KeyAdmission::Duplicate},
        {"did not run", KeyState::NotRun, KeyAdmission::Admitted},
        {"ran", KeyState::Ran, KeyAdmission::Duplicate},
        {"unknown", KeyState::Unknown, KeyAdmission::Duplicate},
    };
    for (const Case &Each : Table) {
      KeyLedger Ledger(10);
      const TimePoint Now{};
      const TimePoint Expiry = Now + std::chrono::minutes(10);
      const CustomerName Customer("t.c");
      CPPUNIT_ASSERT(Ledger.begin(Customer, "k", Expiry, Now) == KeyAdmission::Admitted);
      Ledger.finish(Customer, "k", Each.First, 0);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Ledger.begin(Customer, "k", Expiry, Now) == Each.Expected);
      CPPUNIT_ASSERT_MESSAGE("the same key of another customer is another key",
                             Ledger.begin(CustomerName("t.d"), "k", Expiry, Now) ==
                                 KeyAdmission::Admitted);
    }
  }

  /// Guards against memory that grows with the number of keys ever used.
  void capacityIsBounded() {
    checkProperty("the ledger never holds more than its capacity or an expired key",
                  [](const std::vector<std::uint8_t> &Keys) {
                    KeyLedger Ledger(5);
                    TimePoint Now{};
                    for (const std::uint8_t Key : Keys) {
                      Now += std::chrono::seconds(1);
                      Ledger.begin(CustomerName("t.c"), std::to_string(Key),
                                   Now + std::chrono::seconds(3), Now);
                      RC_ASSERT(Ledger.size() <= 3u);
                    }
                  });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyLedgerTest);
