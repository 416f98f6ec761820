#include "FakeStore.h"
#include "Property.h"
#include "model/SeededRandom.h"
#include "platform/StoreClient.h"
#include "transport/SystemClock.h"

#include <functional>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(scenarios);
  CPPUNIT_TEST(invalidItemsAreReportedOnce);
  CPPUNIT_TEST(newerEpochIsListed);
  CPPUNIT_TEST(checkEndsWatchOfOlderEpoch);
  CPPUNIT_TEST(requestTargets);
  CPPUNIT_TEST(freshListingAfterGoneHistory);
  CPPUNIT_TEST(resumesAndStops);
  CPPUNIT_TEST(unresponsiveStoreIsDetected);
  CPPUNIT_TEST(unresponsiveStoreRecovers);
  CPPUNIT_TEST(silentWatchIsReplaced);
  CPPUNIT_TEST(outagesAreMeasuredFromTheLastResponse);
  CPPUNIT_TEST(staleListingConfirmsNothing);
  CPPUNIT_TEST(checksAreLeftOutWhileOthersConfirm);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against changes that are missed between the listing and the watch, after an outage, or
  /// after the store has dropped its history.
  void scenarios() {
    const std::string Evacuation = item("op/evacuate/a");
    struct Case {
      const char *Name;
      std::vector<std::string> Script;
      std::string Expected;
    };
    const Case Table[] = {
        {"listing and change",
         {range(Evacuation, 7), events(Evacuation, 9)},
         "all to 7:1;since 7 to 9:1;"},
        {"pages",
         {range(Evacuation, 7, true), range(item("op/evacuate/b"), 8), events("", 8)},
         "all to 7:2;since 7 to 8:0;"},
        {"revision without a change",
         {range(Evacuation, 7), events("", 9), events("", 9), events(Evacuation, 10)},
         "all to 7:1;since 7 to 9:0;unchanged 9;since 9 to 10:1;"},
        {"pages of different ages",
         {range(Evacuation, 8, true), range(item("op/evacuate/b"), 7), events(Evacuation, 8)},
         "all to 7:2;since 7 to 8:1;"},
        {"busy", {response("", "503 Busy"), range(Evacuation, 7)}, "lost;back;all to 7:1;"},
        {"too many requests",
         {response("", "429 Too Many"), range(Evacuation, 7)},
         "lost;back;all to 7:1;"},
        {"reset",
         {range(Evacuation, 7), "", events(Evacuation, 9)},
         "all to 7:1;lost;back;unchanged 7;since 7 to 9:1;"},
        {"history gone",
         {range(Evacuation, 7), response("", "410 Gone"), range("", 20), events(Evacuation, 21)},
         "all to 7:1;all to 20:0;since 20 to 21:1;"},
        {"invalid item",
         {range(Evacuation + "," + item("servers/x"), 7)},
         "bad servers/x;all to 7:1;"},
        {"target that becomes invalid",
         {range(Evacuation, 7), events(item("servers/x"), 9)},
         "all to 7:1;bad servers/x;since 7 to 9:1 -x;"},
        {"configuration that becomes invalid",
         {range(Evacuation, 7), events(item("op/config"), 9)},
         "all to 7:1;bad op/config;since 7 to 9:0;"},
        {"items without a key",
         {range(Evacuation + ",7", 7), events("{}," + Evacuation, 9)},
         "bad store;all to 7:1;bad store;since 7 to 9:1;"},
        {"change without a readable key",
         {range(Evacuation, 7), events("{}", 9)},
         "all to 7:1;bad store;since 7 to 9:0;"},
        {"invalid response",
         {response("{"), range(Evacuation, 7)},
         "bad store;lost;back;all to 7:1;"},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store(Each.Script);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      runUntil([&] { return Listener.Text.size() >= Each.Expected.size(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Listener.Text);
    }
  }

  /// Guards against an invalid item that fills the log, because it is written again and again, or
  /// listed again and again, or has a long key.
  void invalidItemsAreReportedOnce() {
    const std::string Invalid = item("servers/x");
    const std::string Removed = R"({"key":"servers/x","revision":1,"removed":true})";
    const std::string Long(100'000, 'x');
    const std::string Gone = response("", "410 Gone");
    struct Case {
      const char *Name;
      std::vector<std::string> Script;
      std::string Expected;
    };
    const Case Table[] = {
        {"written again",
         {range(Invalid, 7), events(Invalid + "," + Invalid, 9), events(Invalid, 11)},
         "bad servers/x;all to 7:0;since 7 to 9:2 -x -x;since 9 to 11:1 -x;"},
        {"listed again",
         {range(Invalid, 7), Gone, range(Invalid, 20), Gone, range(Invalid, 30)},
         "bad servers/x;all to 7:0;all to 20:0;all to 30:0;"},
        {"removed and written again",
         {range(Invalid, 7), events(Removed, 9), events(Invalid, 11)},
         "bad servers/x;all to 7:0;since 7 to 9:1 -x;bad servers/x;since 9 to 11:1 -x;"},
        {"missing in a listing and written again",
         {range(Invalid, 7), Gone, range("", 9), events(Invalid, 11)},
         "bad servers/x;all to 7:0;all to 9:0;bad servers/x;since 9 to 11:1 -x;"},
        {"many elements without a key", {range("7,8,9", 7)}, "bad store;all to 7:0;"},
        {"long key",
         {range(item("servers/" + Long), 7)},
         "bad servers/" + Long.substr(0, 248) + ";all to 7:0;"},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store(Each.Script);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      runUntil([&] { return Listener.Text.size() >= Each.Expected.size(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Listener.Text);
    }
  }

  /// Guards against a watch that goes on after the store has returned from an older copy, in which
  /// the revision of the watch may exist again, and against items of two epochs that are mixed.
  void newerEpochIsListed() {
    const std::string Evacuation = item("op/evacuate/a");
    const std::string Gone = response("", "410 Gone");
    const std::string Busy = response("", "503 Busy");
    struct Case {
      const char *Name;
      std::vector<std::string> Script;
      std::string Expected;
    };
    const Case Table[] = {
        {"revision exists again",
         {inEpoch(1, range(Evacuation, 7)), inEpoch(2, events(Evacuation, 9)),
          inEpoch(2, range("", 8)), inEpoch(2, events(Evacuation, 9))},
         "all to 7@1:1;all to 8@2:0;since 8 to 9@2:1;"},
        {"silent watch",
         {inEpoch(1, range(Evacuation, 7)), inEpoch(2, events("", 7)), inEpoch(2, range("", 7))},
         "all to 7@1:1;all to 7@2:0;"},
        {"revision does not exist",
         {inEpoch(1, range(Evacuation, 7)), inEpoch(2, Gone), inEpoch(2, range("", 5))},
         "all to 7@1:1;all to 5@2:0;"},
        {"rejected",
         {inEpoch(1, range(Evacuation, 7)), inEpoch(2, Busy), inEpoch(2, range("", 5))},
         "all to 7@1:1;lost;back;all to 5@2:0;"},
        {"between two pages",
         {inEpoch(1, range(Evacuation, 7, true)), inEpoch(2, range(item("op/evacuate/b"), 5)),
          inEpoch(2, range(Evacuation, 5))},
         "all to 5@2:1;"},
        {"response of an older epoch",
         {inEpoch(2, range(Evacuation, 7)), inEpoch(1, events(Evacuation, 9)),
          inEpoch(2, events(Evacuation, 8))},
         "all to 7@2:1;lost;back;since 7 to 8@2:1;"},
        {"two restores",
         {inEpoch(1, range(Evacuation, 7)), inEpoch(2, events(Evacuation, 9)),
          inEpoch(3, range("", 4))},
         "all to 7@1:1;all to 4@3:0;"},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store(Each.Script);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      runUntil([&] { return Listener.Text.size() >= Each.Expected.size(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Listener.Text);
    }
  }

  /// Guards against a waiting watch of an older epoch that returns nothing until its timeout.
  void checkEndsWatchOfOlderEpoch() {
    const SystemClock Time;
    SeededRandom Random(1);
    RecordingListener Listener;
    FakeStore Store({inEpoch(1, range("", 7))});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Listener, {}, std::nullopt);
    CPPUNIT_ASSERT(runUntil([&] { return Store.CheckCount == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("all to 7@1:0;"), Listener.Text);
    const std::size_t Before = Store.ReceivedRequests.size();
    Store.Script.resize(Before);
    Store.Script.push_back(inEpoch(2, range("", 5)));
    Store.CheckResponse = inEpoch(2, range("", 5));
    CPPUNIT_ASSERT(runUntil([&] { return Listener.Text == "all to 7@1:0;all to 5@2:0;"; }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a stale listing may be of the older epoch",
                                 std::string("GET /-/kv-range?pathPrefix="),
                                 Store.requestLine(Before));
  }

  /// Guards against requests that deviate from the protocol of the platform.
  void requestTargets() {
    const SystemClock Time;
    SeededRandom Random(1);
    RecordingListener Listener;
    FakeStore Store({range(item("op/a b"), 7, true), range(item("op/c"), 8), events("", 9)});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Listener, {}, std::nullopt);
    CPPUNIT_ASSERT(runUntil([&] { return Store.ReceivedRequests.size() == 4; }));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-range?pathPrefix=&allowStale=1"),
                         Store.requestLine(0));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-range?pathPrefix=&allowStale=1&after=op%2Fa%20b"),
                         Store.requestLine(1));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-watch?pathPrefix=&after=7&waitMs=10000"),
                         Store.requestLine(2));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-watch?pathPrefix=&after=9&waitMs=10000"),
                         Store.requestLine(3));
  }

  /// Guards against a client that lists the old state repeatedly because the stale listing is older
  /// than the history that the store keeps.
  void freshListingAfterGoneHistory() {
    const SystemClock Time;
    SeededRandom Random(1);
    RecordingListener Listener;
    FakeStore Store({range("", 7), response("", "410 Gone"), range("", 20), events("", 20)});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Listener, {}, std::nullopt);
    CPPUNIT_ASSERT(runUntil([&] { return Store.ReceivedRequests.size() >= 4; }));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-range?pathPrefix="), Store.requestLine(2));
  }

  /// Guards against a client that lists everything again although it knows a previous revision, and
  /// one that continues after it was deactivated.
  void resumesAndStops() {
    const SystemClock Time;
    SeededRandom Random(1);
    RecordingListener Listener;
    FakeStore Store({events(item("op/evacuate/a"), 50)});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Listener, {0, 42}, std::nullopt);
    const std::string First = "unchanged 42;since 42 to 50:1;";
    CPPUNIT_ASSERT(runUntil([&] { return Listener.Text.size() >= First.size(); }));
    CPPUNIT_ASSERT_EQUAL(First, Listener.Text);
    Client.deactivate();
    runPending();
    CPPUNIT_ASSERT(Store.ReceivedRequests.size() <= 2);
    const std::size_t Before = Store.ReceivedRequests.size();
    Store.Script.resize(Before, response("", "503 Busy"));
    Store.Script.push_back(events("", 60));
    Client.activate(Listener, {0, 55}, std::nullopt);
    CPPUNIT_ASSERT(runUntil([&] { return Store.ReceivedRequests.size() > Before + 1; }));
    CPPUNIT_ASSERT_EQUAL(First + "unchanged 55;since 55 to 60:0;", Listener.Text);
  }

  /// Guards against a client that waits for an unresponsive store as long as for a change. A region
  /// had an old configuration until 3.9 s after the store had recovered (found by
  /// shyrynkol-press hunt-8fbd-31).
  void unresponsiveStoreRecovers() {
    const SystemClock Time;
    SeededRandom Random(1);
    RecordingListener Listener;
    FakeStore Store({events(item("op/evacuate/a"), 50)});
    Store.CheckResponse = "";
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Listener, {0, 42}, std::nullopt);
    // The store does not respond to the first request, but responds to the second.
    CPPUNIT_ASSERT(runUntil([&] { return Store.CheckCount == 1; }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a watch may wait long", std::size_t{0},
                                 Store.ReceivedRequests.size());
    Store.CheckResponse = range("", 50);
    CPPUNIT_ASSERT(runUntil([&] { return Listener.Text == "lost;back;since 42 to 50:1;"; }));
    CPPUNIT_ASSERT_EQUAL(2, Store.CheckCount);
  }

  /// Guards against changes that are in force late, among them targets that leave, because the
  /// connection of the watch went silent while the store serves others.
  void silentWatchIsReplaced() {
    const SystemClock Time;
    SeededRandom Random(1);
    RecordingListener Listener;
    // The watch gets no response.
    FakeStore Store({range("", 7)});
    Store.CheckResponse = range("", 7);
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Listener, {}, std::nullopt);
    CPPUNIT_ASSERT(runUntil([&] { return Store.CheckCount == 3; }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a watch without changes goes on", std::size_t{2},
                                 Store.ReceivedRequests.size());
    CPPUNIT_ASSERT_EQUAL(std::string("all to 7:0;unchanged 7;unchanged 7;"), Listener.Text);
    Store.Script = {"", "", range(item("op/evacuate/a"), 9)};
    Store.CheckResponse = range("", 9);
    const int CountBefore = Store.CheckCount;
    CPPUNIT_ASSERT(runUntil([&] { return Listener.Text.ends_with("unchanged 7;all to 9:1;"); }));
    CPPUNIT_ASSERT_MESSAGE("found by the second check", Store.CheckCount <= CountBefore + 3);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-range?pathPrefix="), Store.requestLine(2));
    CPPUNIT_ASSERT(runUntil([&] { return Store.ReceivedRequests.size() == 4; }));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-watch?pathPrefix=&after=9&waitMs=10000"),
                         Store.requestLine(3));
  }

  /// Guards against a lost connection that is taken for an outage of the store, after which targets
  /// that were removed stay in use for a while.
  void outagesAreMeasuredFromTheLastResponse() {
    struct Case {
      const char *Name;
      std::vector<std::string> Script;
      bool IsKnown;
    };
    const Case Table[] = {
        {"one lost connection", {range("", 7), "", events("", 9)}, true},
        {"no response since the start", {"", range("", 7)}, false},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store(Each.Script);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      const TimePoint Start = Time.now();
      Client.activate(Listener, {}, std::nullopt);
      CPPUNIT_ASSERT_MESSAGE(
          Each.Name, runUntil([&] { return Listener.Text.find("back;") != std::string::npos; }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsKnown, Listener.Outage < Duration::max());
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Each.IsKnown || Listener.Outage <= Time.now() - Start);
    }
  }

  /// Guards against an entry that takes itself for up to date after a read that may be stale.
  void staleListingConfirmsNothing() {
    const std::string Gone = response("", "410 Gone");
    struct Case {
      const char *Name;
      std::vector<std::string> Script;
      std::string Expected;
      bool IsConfirmed;
    };
    const Case Table[] = {
        {"stale listing", {range("", 7)}, "all to 7:0;", false},
        {"watch without a change", {range("", 7), events("", 7)}, "all to 7:0;unchanged 7;", true},
        {"watch with a change",
         {range("", 7), events(item("op/evacuate/a"), 9)},
         "all to 7:0;since 7 to 9:1;",
         true},
        {"listing after dropped history",
         {range("", 7), Gone, range("", 20)},
         "all to 7:0;all to 20:0;",
         true},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store(Each.Script);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      const TimePoint Start = Time.now();
      Client.activate(Listener, {}, std::nullopt);
      runUntil([&] { return Listener.Text.size() >= Each.Expected.size(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Listener.Text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsConfirmed, Listener.KnownAsOf.has_value());
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Each.IsConfirmed || (*Listener.KnownAsOf >= Start &&
                                                              *Listener.KnownAsOf <= Time.now()));
    }
  }

  /// Guards against calls to the store that grow with the readers of a region, and against a client
  /// that goes on relying on other readers when they stop.
  void checksAreLeftOutWhileOthersConfirm() {
    const SystemClock Time;
    SeededRandom Random(1);
    RecordingListener Listener;
    FakeStore Store({range("", 7)});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Listener, {}, std::nullopt);
    constexpr int Confirmations = 30;
    constexpr guint ConfirmationIntervalMs = 100;
    struct Confirmer {
      RecordingListener &Listener;
      const SystemClock &Time;
      int Count = 0;
    } Others{Listener, Time};
    g_timeout_add(
        ConfirmationIntervalMs,
        [](gpointer Data) -> gboolean {
          auto &Self = *static_cast<Confirmer *>(Data);
          Self.Listener.KnownAsOf = Self.Time.now();
          return ++Self.Count < Confirmations ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
        },
        &Others);
    CPPUNIT_ASSERT(runUntil([&] { return Others.Count == Confirmations; }));
    CPPUNIT_ASSERT_EQUAL(0, Store.CheckCount);
    CPPUNIT_ASSERT(runUntil([&] { return Store.CheckCount == 2; }));
  }

  /// Guards against a client that takes an unresponsive store for available because a watch is
  /// silent while nothing changes. Its region used an old configuration for three seconds (found by
  /// cocomisur-gw scale-2, seed 542791531110).
  void unresponsiveStoreIsDetected() {
    for (const char *Bad : {"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      FakeStore Store({range("", 7)});
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      CPPUNIT_ASSERT(runUntil([&] { return Listener.Text == "all to 7:0;unchanged 7;"; }));
      Store.CheckResponse = Bad;
      CPPUNIT_ASSERT(runUntil([&] { return Listener.Text == "all to 7:0;unchanged 7;lost;"; }));
      const int CountBefore = Store.CheckCount;
      CPPUNIT_ASSERT(runUntil([&] { return Store.CheckCount > CountBefore; }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("after a failure a request that returns immediately comes first",
                                   std::size_t{2}, Store.ReceivedRequests.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
