#include "Batches.h"
#include "Loopback.h"
#include "Property.h"
#include "transport/ConnectionPool.h"
#include "transport/HttpServer.h"
#include "transport/PublicationExchange.h"
#include "transport/SystemClock.h"

using namespace anvilsaddle;
using namespace std::chrono_literals;

class RemovalDelayOfFetchesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemovalDelayOfFetchesTest);
  CPPUNIT_TEST(delayIsTheOneAtTheTimeOfTheFetch);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an entry that defers removals long after an outage, because the entry from
  /// which it fetches has kept a response that was made during the outage.
  void delayIsTheOneAtTheTimeOfTheFetch() {
    const SystemClock Time;
    ConnectionPool Connections(Time);
    PublicationLog Log;
    Log.apply(batch(true, {}, 0, 7));
    PublicationLog EmptyLog;
    Duration Delay{0};
    Duration Received{0};
    int FetchCount = 0;
    PublicationExchange Server(
        Log, Connections, Time,
        {[](const PublicationBatch &, const FetchDetails &) {}, [](const std::string &) {},
         []() -> const Configuration * { return nullptr; }, [&Delay] { return Delay; }});
    HttpServer Listening(Server, Time, 10);
    CPPUNIT_ASSERT_EQUAL(std::string(), Listening.listen({"127.0.0.1", 0}));
    PublicationExchange Client(EmptyLog, Connections, Time,
                               {[&](const PublicationBatch &Batch, const FetchDetails &) {
                                  Received = Batch.RemovalDelay;
                                  ++FetchCount;
                                },
                                [](const std::string &) {},
                                []() -> const Configuration * { return nullptr; },
                                [] { return Duration(0); }});
    for (const Duration Each : {Duration(2s), Duration(500ms), Duration(0)}) {
      Delay = Each;
      const int Before = FetchCount;
      Client.fetch({"127.0.0.1", Listening.port()});
      CPPUNIT_ASSERT(runUntil([&] { return FetchCount > Before; }));
      CPPUNIT_ASSERT_EQUAL(Each.count(), Received.count());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemovalDelayOfFetchesTest);
