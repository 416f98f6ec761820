#include "FakeStore.h"
#include "Property.h"
#include "model/SeededRandom.h"
#include "platform/StoreClient.h"
#include "transport/SystemClock.h"

#include <string>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

class RepeatedListingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepeatedListingsTest);
  CPPUNIT_TEST(listingsAreDelayed);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a client that lists all items again and again without a pause, which adds load
  /// to a store that may be overloaded.
  void listingsAreDelayed() {
    constexpr int MaxListingsBetweenChecks = 8;
    const std::string Gone = response("", "410 Gone");
    struct Case {
      const char *Name;
      std::string WatchResponse;
    };
    const Case Table[] = {
        {"rejected watches", response("", "503 Busy")},
        {"watches whose history is gone", Gone},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      int Listings = 0;
      int Checks = 0;
      ScriptedServer Store([&](RawConnection &Caller, int) {
        const std::string &Request = Store.Requests.back();
        if (Request.find("/-/kv-watch") != std::string::npos) {
          Caller.send(Each.WatchResponse);
          return;
        }
        ++(Request.find("op/evacuate/") != std::string::npos ? Checks : Listings);
        Caller.send(range("", 7));
      });
      StoreClient Client({"127.0.0.1", Store.Port}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      runUntil([&] { return Checks == 2 || Listings > 2 * MaxListingsBetweenChecks; });
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Checks == 2);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedListingsTest);
