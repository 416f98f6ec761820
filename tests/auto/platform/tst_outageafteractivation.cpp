#include "FakeStore.h"
#include "Property.h"
#include "model/SeededRandom.h"
#include "platform/StoreClient.h"
#include "transport/SystemClock.h"

#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

class OutageAfterActivationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutageAfterActivationTest);
  CPPUNIT_TEST(shortOutagesStayShort);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against targets that stay in use after their removal because an entry that starts to
  /// read the store again takes one failed request for an outage without end.
  void shortOutagesStayShort() {
    struct Case {
      const char *Name;
      std::string FailedCheck;
    };
    const Case Table[] = {
        {"the first check is reset", ""},
        {"the first check is rejected", response("", "503 Busy")},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store({range("", 7)});
      Store.CheckResponse = range("", 7);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      const TimePoint Start = Time.now();
      Client.activate(Listener, {}, std::nullopt);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Listener.KnownAsOf.has_value(); }));
      Client.deactivate();
      Store.CheckResponse = Each.FailedCheck;
      Client.activate(Listener, {0, 7}, Listener.KnownAsOf);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Listener.Text.ends_with("lost;"); }));
      Store.CheckResponse = range("", 7);
      CPPUNIT_ASSERT_MESSAGE(
          Each.Name, runUntil([&] { return Listener.Text.find("back;") != std::string::npos; }));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Listener.Outage <= Time.now() - Start);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageAfterActivationTest);
