#include "FakeStore.h"
#include "Property.h"
#include "model/SeededRandom.h"
#include "platform/StoreClient.h"
#include "transport/SystemClock.h"

#include <cstddef>
#include <string>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

class UnfinishedWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnfinishedWatchTest);
  CPPUNIT_TEST(changeArrivesDespiteUnfinishedResponse);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a reader that waits for the rest of a watch's response until the watch times
  /// out, although the checks show that the store is ahead.
  void changeArrivesDespiteUnfinishedResponse() {
    constexpr int MaxChecks = 5;
    const std::string Change = events(item("op/evacuate/a"), 9);
    const std::size_t HeadBytes = Change.find("\r\n\r\n") + 4;
    struct Case {
      const char *Name;
      std::size_t SentBytes;
    };
    const Case Table[] = {
        {"nothing", 0},
        {"the status line", Change.find("\r\n")},
        {"the head", HeadBytes},
        {"half of the body", (HeadBytes + Change.size()) / 2},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store({range("", 7)});
      if (Each.SentBytes > 0) {
        Store.Script.push_back(Change.substr(0, Each.SentBytes));
      }
      Store.CheckResponse = range("", 9);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      CPPUNIT_ASSERT_MESSAGE(Each.Name,
                             runUntil([&] { return Store.ReceivedRequests.size() == 2; }));
      Store.Script.resize(2, Change);
      Store.Script.push_back(range(item("op/evacuate/a"), 9));
      runUntil([&] {
        return Store.CheckCount > MaxChecks || Listener.Text.find(" to 9:1;") != std::string::npos;
      });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string("all to 7:0;all to 9:1;"), Listener.Text);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnfinishedWatchTest);
