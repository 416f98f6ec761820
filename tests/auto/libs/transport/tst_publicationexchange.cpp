#include "Batches.h"
#include "Loopback.h"
#include "Property.h"
#include "transport/ConnectionPool.h"
#include "transport/HttpServer.h"
#include "transport/PublicationExchange.h"
#include "transport/SystemClock.h"

#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// An entry with a publication log and an exchange that listens on a port.
struct Entry {
  Entry()
      : Connections(Time), Exchange(Log, Connections, Time,
                                    {[this](const PublicationBatch &Batch, const FetchDetails &) {
                                       this->ReceivedRemovalDelay = Batch.RemovalDelay;
                                       this->apply(Batch);
                                       ++this->FetchCount;
                                     },
                                     [this](const std::string &Reason) {
                                       this->Failure = Reason;
                                       ++this->FetchCount;
                                     },
                                     [this] { return this->Current ? &*this->Current : nullptr; },
                                     [] { return Duration(700ms); }}),
        Server(Exchange, Time, 10) {
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Server.listen({"127.0.0.1", 0}));
  }

  void apply(const PublicationBatch &Batch) {
    this->Log.apply(Batch);
    for (const Publication &Each : Batch.Changes) {
      if (const auto *Newer = std::get_if<Configuration>(&Each)) {
        this->Exchange.onConfiguration(this->Current ? &*this->Current : nullptr, *Newer);
        this->Current = *Newer;
      }
    }
  }

  bool fetch(std::uint16_t Port) {
    const int Before = this->FetchCount;
    this->Exchange.fetch({"127.0.0.1", Port});
    return runUntil([&] { return this->FetchCount > Before; });
  }

  SystemClock Time;
  PublicationLog Log;
  ConnectionPool Connections;
  PublicationExchange Exchange;
  HttpServer Server;
  std::optional<Configuration> Current;
  Duration ReceivedRemovalDelay{0};
  std::string Failure;
  int FetchCount = 0;
};

TargetRegistered makeRegistration(const char *Name) {
  Target Value;
  Value.Name = TargetName(Name);
  Value.Address = {"10.0.0.1", 80};
  return {Value};
}

} // namespace

class PublicationExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationExchangeTest);
  CPPUNIT_TEST(changesAreFetched);
  CPPUNIT_TEST(smallChangesOfLargeConfigurations);
  CPPUNIT_TEST(epochsAreFetched);
  CPPUNIT_TEST(failuresAreReported);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against entries that stay behind the entry they fetch from.
  void changesAreFetched() {
    Entry Reader;
    Entry Follower;
    Reader.Log.apply(batch(true, {makeRegistration("a")}, 0, 5));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, Follower.Log.position().Revision);
    CPPUNIT_ASSERT(Follower.ReceivedRemovalDelay == 700ms);
    Reader.Log.apply(batch(false, {makeRegistration("b"), TargetRemoved{TargetName("a")}}, 5, 8));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT(Follower.Log.batchSince({}) == Reader.Log.batchSince({}));
    CPPUNIT_ASSERT_EQUAL(std::string(), Follower.Failure);
    const PublicationTraffic Served = Reader.Exchange.traffic();
    const PublicationTraffic Fetched = Follower.Exchange.traffic();
    CPPUNIT_ASSERT(Served.SnapshotsOut == 1 && Served.ChangesOut == 1 && Served.BytesOut > 0);
    CPPUNIT_ASSERT(Fetched.Fetches == 2 && Fetched.FailedFetches == 0);
    CPPUNIT_ASSERT_EQUAL(Served.BytesOut, Fetched.BytesIn);
  }

  /// Guards against a link that is filled by unchanged routes: a change of one route once sent all
  /// of them to each entry.
  void smallChangesOfLargeConfigurations() {
    constexpr int RouteCount = 1400;
    constexpr std::uint64_t MaxBytesOfOneRoute = 512;
    Entry Reader;
    Entry Follower;
    Configuration Newer;
    Newer.Version = 1;
    for (int Index = 0; Index < RouteCount; ++Index) {
      Route Added;
      Added.Name = RouteName("r-" + std::to_string(Index * 7919));
      Added.Host = "press-" + std::to_string(Index) + ".example";
      Added.PathPrefix = "/lot" + std::to_string(Index) + "/";
      Added.Services = {{ServiceName("board"), 1}};
      Newer.Routes.push_back(std::move(Added));
    }
    Reader.apply(batch(true, {Newer}, 0, 5));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT(Follower.Current == Newer);
    const std::uint64_t BytesBefore = Follower.Exchange.traffic().BytesIn;
    Newer.Version = 4;
    Newer.Routes[700].Timeout = 3s;
    Reader.apply(batch(false, {Newer}, 5, 6));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT(Follower.Current == Newer);
    CPPUNIT_ASSERT(Follower.Exchange.traffic().BytesIn - BytesBefore < MaxBytesOfOneRoute);
    Entry Latecomer;
    CPPUNIT_ASSERT(Latecomer.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT(Latecomer.Current == Newer);
  }

  /// Guards against a cached response of an older epoch of the source, in which the same revisions
  /// mean other publications.
  void epochsAreFetched() {
    Entry Reader;
    Entry Follower;
    Reader.Log.apply(batch(true, {makeRegistration("a")}, 0, 5, 1));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    Reader.Log.apply(batch(true, {makeRegistration("b")}, 0, 5, 2));
    CPPUNIT_ASSERT(Follower.fetch(Reader.Server.port()));
    CPPUNIT_ASSERT(Follower.Log.position() == (SourcePosition{2, 5}));
    CPPUNIT_ASSERT(Follower.Log.batchSince({}) == Reader.Log.batchSince({}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Reader.Exchange.traffic().ChangesOut);
  }

  /// Guards against failed fetches that are not reported, or that change the log.
  void failuresAreReported() {
    struct Case {
      const char *Name;
      std::string Response;
    };
    const Case Table[] = {
        {"error status", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"},
        {"invalid batch", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"},
        {"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na"},
        {"no response", ""},
    };
    for (const Case &Each : Table) {
      Entry Follower;
      ScriptedServer Server([&Each](RawConnection &Caller, int) {
        Caller.send(Each.Response);
        if (std::string(Each.Name) == "truncated") {
          Caller.close();
        }
      });
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Follower.fetch(Server.Port));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Follower.Failure.empty());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Follower.Log.position().Revision);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Follower.Exchange.traffic().FailedFetches);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationExchangeTest);
