#include "Batches.h"
#include "Loopback.h"
#include "Property.h"
#include "transport/HttpServer.h"
#include "transport/PublicationExchange.h"
#include "transport/SystemClock.h"
#include "transport/ConnectionPool.h"

#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// An entry's log with its exchange on a port.
struct Entry {
  Entry()
      : Connections(Time), Exchange(Log, Connections,
                                    {[this](const PublicationBatch &Batch) {
                                       this->Wait = Batch.RemovalDelay;
                                       this->Log.apply(Batch);
                                       ++this->Ends;
                                     },
                                     [this](const std::string &Reason) {
                                       this->Failure = Reason;
                                       ++this->Ends;
                                     },
                                     [] { return Duration(700ms); }}),
        Server(Exchange, Time, 10) {
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Server.listen({"127.0.0.1", 0}));
  }

  bool fetch(std::uint16_t Port) {
    const int Before = this->Ends;
    this->Exchange.fetch({"127.0.0.1", Port});
    return runUntil([&] { return this->Ends > Before; });
  }

  SystemClock Time;
  PublicationLog Log;
  ConnectionPool Connections;
  PublicationExchange Exchange;
  HttpServer Server;
  Duration Wait{0};
  std::string Failure;
  int Ends = 0;
};

TargetRegistered registered(const char *Name) {
  Target Value;
  Value.Name = TargetName(Name);
  return {Value};
}

} // namespace

class PublicationExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationExchangeTest);
  CPPUNIT_TEST(changesArrive);
  CPPUNIT_TEST(failures);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against entries that stay behind the one they ask.
  void changesArrive() {
    Entry Reader;
    Entry Follower;
    Reader.Log.apply(batch(true, {registered("a")}, 0, 5));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, Follower.Log.revision());
    CPPUNIT_ASSERT(Follower.Wait == 700ms);
    Reader.Log.apply(batch(false, {registered("b"), TargetRemoved{TargetName("a")}}, 5, 8));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT(Follower.Log.batchSince(0) == Reader.Log.batchSince(0));
    CPPUNIT_ASSERT_EQUAL(std::string(), Follower.Failure);
  }

  void failures() {
    struct Case {
      const char *Name;
      std::string Answer;
    };
    const Case Table[] = {
        {"refused", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"},
        {"no batch", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"},
        {"cut", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na"},
        {"silent", ""},
    };
    for (const Case &Each : Table) {
      Entry Follower;
      ScriptedServer Other([&Each](RawConnection &Caller, int) {
        Caller.send(Each.Answer);
        if (std::string(Each.Name) == "cut") {
          Caller.close();
        }
      });
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Follower.fetch(Other.Port));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Follower.Failure.empty());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Follower.Log.revision());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationExchangeTest);
