#include "Batches.h"
#include "FakeProtocol.h"
#include "Loopback.h"
#include "Property.h"
#include "coordination/dispatch/Dispatcher.h"
#include "model/SeededRandom.h"
#include "protocol/Metrics.h"
#include "transport/ConnectionPool.h"
#include "transport/ForwardHandler.h"
#include "transport/HttpServer.h"
#include "transport/ProbeRunner.h"
#include "transport/ProxyHandler.h"
#include "transport/SystemClock.h"

#include <optional>
#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

Topology makeTopology() {
  Topology Result;
  Result.OwnDomain = FailureDomainName("a1");
  Result.OwnRegion = RegionName("a");
  Result.RegionByDomain = {{FailureDomainName("a1"), RegionName("a")}};
  return Result;
}

/// The system clock, which a test can advance.
class AdvancingClock final : public Clock {
public:
  TimePoint now() const override { return this->System.now() + this->Advance; }
  std::int64_t unixMilliseconds() const override { return this->System.unixMilliseconds(); }

  Duration Advance{0};

private:
  SystemClock System;
};

/// The request path of one entry, from the socket of the caller to the socket of the target.
class TestEntry {
public:
  TestEntry()
      : Random(3), RequestDispatcher(makeTopology(), {}, "127.0.0.1", Random), Pool(Time),
        Probes(Pool, Protocol,
               {[this](const TargetName &Name, const ProbeReport &Report) {
                  this->RequestDispatcher.onProbe(Name, Report, this->Time.now());
                  this->applyEffects();
                },
                [this](const TargetName &Name, ProbeFailure Failure, const std::string &) {
                  this->RequestDispatcher.onProbeFailed(Name, Failure, this->Time.now());
                  this->applyEffects();
                }}),
        Proxy({RequestDispatcher, Pool, Protocol, RequestMetrics, Time, Random,
               [this] { this->applyEffects(); }}),
        Server(Proxy, Time, 100) {
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Server.listen({"127.0.0.1", 0}));
    this->TickTimer = g_timeout_add(
        2,
        [](gpointer Data) -> gboolean {
          auto &Self = *static_cast<TestEntry *>(Data);
          Self.RequestDispatcher.onTick(Self.Time.now());
          Self.applyEffects();
          return G_SOURCE_CONTINUE;
        },
        this);
  }
  ~TestEntry() { g_source_remove(this->TickTimer); }
  TestEntry(const TestEntry &) = delete;
  TestEntry &operator=(const TestEntry &) = delete;

  void configure(const std::vector<WeightedService> &Services = {{ServiceName("s"), 1}},
                 Duration Timeout = 400ms, bool HasLargeResponses = false) {
    Configuration NewConfiguration;
    NewConfiguration.Version = 1;
    for (const bool Idempotent : {true, false}) {
      Route NewRoute;
      NewRoute.Name = RouteName(Idempotent ? "safe" : "unsafe");
      NewRoute.Host = "h";
      NewRoute.PathPrefix = Idempotent ? "/safe/" : "/unsafe/";
      NewRoute.Idempotent = Idempotent;
      NewRoute.Timeout = Timeout;
      NewRoute.HasLargeResponses = HasLargeResponses;
      NewRoute.LatencyObjective = 200ms;
      NewRoute.MaxTargets = 2;
      NewRoute.Services = Services;
      NewConfiguration.Routes.push_back(NewRoute);
    }
    this->Proxy.setConfiguration(NewConfiguration);
  }

  void addTarget(const std::string &Name, std::uint16_t Port, const std::string &Service = "s") {
    Target NewTarget;
    NewTarget.Name = TargetName(Name);
    NewTarget.Service = ServiceName(Service);
    NewTarget.Address = {"127.0.0.1", Port};
    NewTarget.Domain = FailureDomainName("a1");
    this->RequestDispatcher.targets().apply(batch(false, {TargetRegistered{NewTarget}}),
                                            this->Time.now());
  }

  void removeTarget(const std::string &Name) {
    this->RequestDispatcher.targets().apply(batch(false, {TargetRemoved{TargetName(Name)}}),
                                            this->Time.now());
  }

  /// Advances the clock, and lets the timers that are due then run in the next iteration of the
  /// main loop, before its other sources.
  void advanceTime(Duration Advance) {
    this->Time.Advance += Advance;
    g_source_set_ready_time(g_main_context_find_source_by_id(nullptr, this->TickTimer), 0);
  }

  AdvancingClock Time;
  SeededRandom Random;
  FakeProtocol Protocol;
  Metrics RequestMetrics;
  Dispatcher RequestDispatcher;
  ConnectionPool Pool;
  ProbeRunner Probes;
  ProxyHandler Proxy;
  HttpServer Server;

private:
  void applyEffects() {
    if (std::exchange(this->IsApplyingEffects, true)) {
      return;
    }
    for (auto Next = this->RequestDispatcher.takeEffects(); !Next.empty();
         Next = this->RequestDispatcher.takeEffects()) {
      for (const Effect &Each : Next) {
        std::visit([this](const auto &Command) { this->applyEffect(Command); }, Each);
      }
    }
    this->IsApplyingEffects = false;
  }
  void applyEffect(const ProbeTarget &Command) { this->Probes.start(Command); }
  template <typename CommandType> void applyEffect(const CommandType &Command) {
    this->Proxy.apply(Command);
  }

  bool IsApplyingEffects = false;
  guint TickTimer = 0;
};

/// Responds to probes with a report of no load, and to requests with the given response.
class FakeTarget {
public:
  explicit FakeTarget(std::string Response)
      : Response(std::move(Response)), Server([this](RawConnection &Caller, int) {
          const std::string &Head = this->Server.Requests.back();
          if (Head.find("Expect-Instance") == std::string::npos) {
            Caller.send("HTTP/1.1 200 OK\r\nLoad: 0\r\nContent-Length: 0\r\n\r\n");
            return;
          }
          ++this->Requests;
          this->RequestConnections.push_back(&Caller);
          Caller.send(this->Response);
        }) {}

  std::string Response;
  int Requests = 0;
  /// The connection of each request, in order of arrival.
  std::vector<RawConnection *> RequestConnections;
  ScriptedServer Server;
};

std::string makeResponse(const std::string &Status, const std::string &Fields,
                         const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Fields + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string makeRequest(const std::string &Method, const std::string &Path,
                        Duration RemainingTime = 5s) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: h\r\nId: 7\r\nLeft: " + std::to_string(toMilliseconds(RemainingTime)) +
         "\r\n" + (Method == "POST" ? "Content-Length: 2\r\n\r\nab" : "\r\n");
}

} // namespace

class ProxyHandlerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyHandlerTest);
  CPPUNIT_TEST(responses);
  CPPUNIT_TEST(forwardedRequests);
  CPPUNIT_TEST(forwardedRequestsKeepTheirService);
  CPPUNIT_TEST(unresponsiveTargets);
  CPPUNIT_TEST(pathsAreForwardedUnchanged);
  CPPUNIT_TEST(requestsBehindDownloads);
  CPPUNIT_TEST(requestsBehindCompleteDownloads);
  CPPUNIT_TEST(slowCallersPauseDownloads);
  CPPUNIT_TEST(streamedResponsesEndAtTheirDeadline);
  CPPUNIT_TEST(responsesWithoutEnd);
  CPPUNIT_TEST(disconnectingCallersCancelAttempts);
  CPPUNIT_TEST(shutdown);
  CPPUNIT_TEST(requestsThatDidNotRunCanBeRepeatedAfterShutdown);
  CPPUNIT_TEST(callersLeaveDuringALaterRequest);
  CPPUNIT_TEST(attemptsEndWithTheirRequest);
  CPPUNIT_TEST(attemptsEndWithTheirConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a caller that gets anything but the complete response of its target, against a
  /// non-idempotent request that runs twice, and against a status that wrongly says that a request
  /// did not run.
  void responses() {
    const std::string SignedFields =
        "Id: 7\r\nSigned: s\r\nX-Extra: kept\r\nKeep-Alive: timeout=5\r\n";
    const std::string SuccessResponse = makeResponse("200 OK", SignedFields, "good");
    struct Case {
      const char *Name;
      std::string Request;
      std::string Response;
      std::string Expected;
      int Requests;
    };
    const Case Table[] = {
        {"complete", makeRequest("GET", "/safe/1"), SuccessResponse,
         "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nX-Extra: kept\r\nKeep-Alive: timeout=12\r\n"
         "Content-Length: 4\r\n\r\ngood",
         1},
        {"unsafe", makeRequest("POST", "/unsafe/1"), SuccessResponse, "HTTP/1.1 200 OK\r\n", 1},
        {"unsafe load shed", makeRequest("POST", "/unsafe/1"),
         makeResponse("503 Busy", "Not-Run: 1\r\n", ""), "HTTP/1.1 503 ", 1},
        {"unsafe unsigned", makeRequest("POST", "/unsafe/1"),
         makeResponse("200 OK", "Id: 7\r\n", "x"), "HTTP/1.1 502 ", 1},
        {"unsafe failed", makeRequest("POST", "/unsafe/1"),
         makeResponse("500 No", SignedFields, "why"), "HTTP/1.1 500 No\r\nId: 7\r\nSigned: s\r\n",
         1},
        {"unsafe executed, status 503", makeRequest("POST", "/unsafe/1"),
         makeResponse("503 Busy", SignedFields, "why"), "HTTP/1.1 502 ", 1},
        {"unsafe executed, status 429", makeRequest("POST", "/unsafe/1"),
         makeResponse("429 Many", SignedFields, "why"), "HTTP/1.1 502 ", 1},
        {"unsafe executed, status 408", makeRequest("POST", "/unsafe/1"),
         makeResponse("408 Slow", SignedFields, "why"), "HTTP/1.1 502 ", 1},
        {"safe failed, status 503", makeRequest("GET", "/safe/1"),
         makeResponse("503 Busy", SignedFields, "why"),
         "HTTP/1.1 503 Busy\r\nId: 7\r\nSigned: s\r\n", 1},
        {"no route", makeRequest("GET", "/other/"), SuccessResponse, "HTTP/1.1 404 ", 0},
    };
    for (const Case &Each : Table) {
      TestEntry Entry;
      Entry.configure();
      FakeTarget Target(Each.Response);
      Entry.addTarget("t1", Target.Server.Port);
      const auto Caller = RawConnection::connect(Entry.Server.port());
      Caller->send(Each.Request);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               return Caller->Received.find("\r\n\r\n") != std::string::npos;
                             }));
      runPending();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected,
                                   Caller->Received.substr(0, Each.Expected.size()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Requests, Target.Requests);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.Proxy.size());
    }
    TestEntry Unconfigured;
    const auto Caller = RawConnection::connect(Unconfigured.Server.port());
    Caller->send(makeRequest("GET", "/safe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return !Caller->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 "), Caller->Received.substr(0, 13));
    CPPUNIT_ASSERT(Caller->Received.find("Retry-After: 0.3") != std::string::npos);
  }

  /// Guards against accepting forwarded requests without a valid forward header, against sending
  /// this header to a target, and against queueing a request for which the other entry did not
  /// allow it.
  void forwardedRequests() {
    const std::string SuccessResponse = makeResponse("200 OK", "Id: 7\r\nSigned: s\r\n", "good");
    struct Case {
      const char *ForwardHeader;
      bool HasTarget;
      std::string Expected;
      int Requests;
    };
    const Case Table[] = {
        {"", true, "HTTP/1.1 400 ", 0},
        {"Anvilsaddle-Forwarded: 1 x 0\r\n", true, "HTTP/1.1 400 ", 0},
        {"Anvilsaddle-Forwarded: 1 0 30\r\n", true, "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\n", 1},
        {"Anvilsaddle-Forwarded: 1 0 30\r\n", false, "HTTP/1.1 503 ", 0},
    };
    for (const Case &Each : Table) {
      TestEntry Entry;
      Entry.configure();
      ForwardHandler Handler(Entry.Proxy);
      HttpServer ForwardServer(Handler, Entry.Time, 10);
      CPPUNIT_ASSERT_EQUAL(std::string(), ForwardServer.listen({"127.0.0.1", 0}));
      FakeTarget Target(SuccessResponse);
      if (Each.HasTarget) {
        Entry.addTarget("t1", Target.Server.Port);
      }
      const auto OtherEntry = RawConnection::connect(ForwardServer.port());
      std::string Text = makeRequest("POST", "/unsafe/1");
      Text.insert(Text.find("Id: 7"), Each.ForwardHeader);
      OtherEntry->send(Text);
      CPPUNIT_ASSERT_MESSAGE(Each.ForwardHeader,
                             runUntil([&] { return !OtherEntry->Received.empty(); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.ForwardHeader, Each.Expected,
                                   OtherEntry->Received.substr(0, Each.Expected.size()));
      CPPUNIT_ASSERT_EQUAL(Each.Requests, Target.Requests);
      for (const std::string &Head : Target.Server.Requests) {
        CPPUNIT_ASSERT(Head.find("Forwarded") == std::string::npos);
      }
    }
  }

  /// Guards against requests that run by a configuration which the entry of the caller doesn't
  /// have.
  void forwardedRequestsKeepTheirService() {
    struct Case {
      const char *ServiceHeader;
      std::vector<WeightedService> Services;
      std::string Expected;
      int OldRequests;
      int NewRequests;
    };
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string NotExecuted = "HTTP/1.1 503 ";
    const WeightedService Old{ServiceName("old"), 1};
    const WeightedService New{ServiceName("new"), 1'000'000};
    const Case Table[] = {
        {"Anvilsaddle-Forwarded-Service: new\r\n", {New}, Ok, 0, 1},
        {"Anvilsaddle-Forwarded-Service: old\r\n", {New, Old}, Ok, 1, 0},
        {"Anvilsaddle-Forwarded-Service: old\r\n", {New}, NotExecuted, 0, 0},
        {"Anvilsaddle-Forwarded-Service: new\r\n", {Old}, NotExecuted, 0, 0},
        {"", {New}, Ok, 0, 1},
    };
    for (const Case &Each : Table) {
      FakeTarget OldTarget(makeResponse("200 OK", "Id: 7\r\nSigned: s\r\n", "x"));
      FakeTarget NewTarget(makeResponse("200 OK", "Id: 7\r\nSigned: s\r\n", "x"));
      TestEntry Entry;
      Entry.configure(Each.Services);
      Entry.addTarget("t-old", OldTarget.Server.Port, "old");
      Entry.addTarget("t-new", NewTarget.Server.Port, "new");
      ForwardHandler Handler(Entry.Proxy);
      HttpServer ForwardServer(Handler, Entry.Time, 10);
      CPPUNIT_ASSERT_EQUAL(std::string(), ForwardServer.listen({"127.0.0.1", 0}));
      const auto OtherEntry = RawConnection::connect(ForwardServer.port());
      std::string Text = makeRequest("GET", "/safe/");
      Text.insert(Text.find("Id: 7"),
                  std::string("Anvilsaddle-Forwarded: 1 0 30\r\n") + Each.ServiceHeader);
      OtherEntry->send(Text);
      CPPUNIT_ASSERT_MESSAGE(Each.ServiceHeader, runUntil([&] {
                               return OtherEntry->Received.find("\r\n\r\n") != std::string::npos;
                             }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.ServiceHeader, Each.Expected,
                                   OtherEntry->Received.substr(0, Each.Expected.size()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.ServiceHeader, Each.OldRequests, OldTarget.Requests);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.ServiceHeader, Each.NewRequests, NewTarget.Requests);
    }
  }

  /// Guards against callers that wait forever for a target that doesn't respond, and against
  /// telling them that the request did not run although it may have.
  void unresponsiveTargets() {
    TestEntry Entry;
    Entry.configure();
    FakeTarget Target("");
    Entry.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Entry.Server.port());
    Caller->send(makeRequest("POST", "/unsafe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return !Caller->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 504 "), Caller->Received.substr(0, 13));
    CPPUNIT_ASSERT_EQUAL(1, Target.Requests);
    CPPUNIT_ASSERT_MESSAGE("the attempt is cancelled",
                           runUntil([&] { return Target.Server.Connections.back()->Closed; }));
  }

  /// Guards against a target that receives a path other than the one that was routed, because it
  /// was normalized or decoded on the way.
  void pathsAreForwardedUnchanged() {
    const std::string SuccessResponse = makeResponse("200 OK", "Id: 7\r\nSigned: s\r\n", "good");
    const char *const Table[] = {"/safe/x",         "/safe/x?a=%20b&c", "/safe/a%20b",
                                 "/safe/a%2Fb",     "/safe/a%252Fb",    "/safe/a%0D%0AX:b",
                                 "/safe/../safe/x", "/safe/%2e%2E/x"};
    for (const char *Each : Table) {
      TestEntry Entry;
      Entry.configure();
      FakeTarget Target(SuccessResponse);
      Entry.addTarget("t1", Target.Server.Port);
      const auto Caller = RawConnection::connect(Entry.Server.port());
      Caller->send(makeRequest("GET", Each));
      CPPUNIT_ASSERT_MESSAGE(Each, runUntil([&] { return !Caller->Received.empty(); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each, std::string("HTTP/1.1 200 "),
                                   Caller->Received.substr(0, 13));
      const std::string Line = std::string("GET ") + Each + " HTTP/1.1\r\n";
      CPPUNIT_ASSERT_MESSAGE(Target.Server.Requests.back(),
                             Target.Server.Requests.back().starts_with(Line));
    }
  }

  /// Guards against requests that are passed on behind a download and lose their responses when it
  /// breaks off, since the connection must be reset then.
  void requestsBehindDownloads() {
    const std::string Large(std::size_t{300} * 1024, 'x');
    const std::string LargeHead =
        "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nContent-Length: " + std::to_string(Large.size()) +
        "\r\n\r\n";
    struct Case {
      const char *Name;
      bool IsLargeRoute;
      /// A complete download came before.
      bool HasStreamed;
      int PassedOn;
    };
    const Case Table[] = {
        {"small responses", false, false, 2},
        {"route of downloads", true, false, 1},
        {"route with a large response before", false, true, 1},
    };
    for (const Case &Each : Table) {
      TestEntry Entry;
      Entry.configure({{ServiceName("s"), 1}}, 60s, Each.IsLargeRoute);
      FakeTarget Target(Each.HasStreamed ? LargeHead + Large : "");
      Entry.addTarget("t1", Target.Server.Port);
      const auto Caller = RawConnection::connect(Entry.Server.port());
      if (Each.HasStreamed) {
        Caller->send(makeRequest("GET", "/safe/0", 60s));
        CPPUNIT_ASSERT_MESSAGE(Each.Name,
                               runUntil([&] { return Caller->Received.ends_with(Large); }));
        Target.Response.clear();
        Target.Requests = 0;
      }
      Caller->send(makeRequest("GET", "/safe/1", 60s) + makeRequest("GET", "/safe/2", 60s));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Target.Requests == Each.PassedOn; }));
      runPending();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.PassedOn, Target.Requests);
      if (Each.PassedOn == 1) {
        RawConnection &Download = *Target.RequestConnections.back();
        Download.send(LargeHead + Large.substr(1));
        runPending();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, 1, Target.Requests);
        Download.close();
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Caller->Closed; }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, 1, Target.Requests);
      }
    }
  }

  /// Guards against a request behind a download that is never passed on, or that counts its waiting
  /// time from when it is passed on.
  void requestsBehindCompleteDownloads() {
    TestEntry Entry;
    Entry.configure({{ServiceName("s"), 1}}, 60s, true);
    FakeTarget Target("");
    Entry.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Entry.Server.port());
    Caller->send(makeRequest("GET", "/safe/1", 60s) + makeRequest("GET", "/safe/2", 5s));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 1; }));
    runPending();
    Entry.advanceTime(2s);
    Target.RequestConnections.back()->send(makeResponse("200 OK", "Id: 7\r\nSigned: s\r\n", "ok"));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 2; }));
    const std::string &Head = Target.Server.Requests.back();
    const int Left = std::stoi(Head.substr(Head.find("Left: ") + 6));
    CPPUNIT_ASSERT_MESSAGE(Head, Left <= 3000);
  }

  /// Guards against a large response that fills the memory because its caller reads slowly.
  void slowCallersPauseDownloads() {
    constexpr std::size_t Megabyte = std::size_t{1} << 20;
    constexpr std::size_t Size = 48 * Megabyte;
    // Far longer than the download takes, because it is cut at the end of this time.
    constexpr Duration Timeout = 60s;
    TestEntry Entry;
    Entry.configure({{ServiceName("s"), 1}}, Timeout);
    FakeTarget Target("HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nContent-Length: " +
                      std::to_string(Size) + "\r\n\r\n");
    Entry.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Entry.Server.port());
    Caller->pauseReading();
    Caller->send(makeRequest("GET", "/safe/1", Timeout));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 1; }));
    RawConnection &TargetConnection = *Target.Server.Connections.back();
    std::string Body(Size, 'x');
    for (std::size_t Offset = 0; Offset < Size; Offset += 4096) {
      Body[Offset] = static_cast<char>('a' + Offset / 4096 % 26);
    }
    std::size_t BytesSent = 0;
    const auto SendMore = [&] {
      const std::size_t Count = BytesSent < Size
                                    ? TargetConnection.send(Body.substr(BytesSent, Megabyte))
                                    : std::size_t{0};
      BytesSent += Count;
      return Count;
    };
    do {
      runPending();
    } while (SendMore() > 0);
    CPPUNIT_ASSERT_MESSAGE("bytes taken from the target: " + std::to_string(BytesSent),
                           BytesSent < 24 * Megabyte);
    Caller->resumeReading();
    const auto IsComplete = [&] {
      return Caller->Received.size() >= Size && Caller->Received.ends_with(Body);
    };
    CPPUNIT_ASSERT(runUntil([&] {
      SendMore();
      return Caller->Received.size() > Size + 50 && IsComplete();
    }));
  }

  /// Guards against a response that is held past the time of its request after it has begun: its
  /// connection went silent, its target sends too little at a time, or its caller doesn't read.
  void streamedResponsesEndAtTheirDeadline() {
    constexpr std::size_t Megabyte = std::size_t{1} << 20;
    struct Case {
      const char *Name;
      std::size_t FirstBytes;
      std::size_t BytesPerRound;
      bool CallerReads;
    };
    const Case Table[] = {
        {"silent connection", Megabyte, 0, true},
        {"slow target", Megabyte, 1, true},
        {"slow caller", Megabyte, Megabyte, false},
    };
    for (const Case &Each : Table) {
      for (const bool IsChunked : {false, true}) {
        TestEntry Entry;
        Entry.configure();
        const std::string Framing =
            IsChunked ? "Transfer-Encoding: chunked" : "Content-Length: 999999999";
        FakeTarget Target("HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\n" + Framing + "\r\n\r\n");
        Entry.addTarget("t1", Target.Server.Port);
        const auto Caller = RawConnection::connect(Entry.Server.port());
        if (!Each.CallerReads) {
          Caller->pauseReading();
        }
        Caller->send(makeRequest("GET", "/safe/1"));
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Target.Requests == 1; }));
        RawConnection &TargetConnection = *Target.Server.Connections.back();
        const auto Send = [&](std::size_t Count) {
          const std::string Bytes(Count, 'x');
          TargetConnection.send(IsChunked ? writeChunk(Bytes) : Bytes);
        };
        Send(Each.FirstBytes);
        const bool HasEnded = runUntil([&] {
          if (Each.BytesPerRound > 0 && !TargetConnection.Closed) {
            Send(Each.BytesPerRound);
          }
          return Entry.Proxy.size() == 0;
        });
        CPPUNIT_ASSERT_MESSAGE(Each.Name, HasEnded);
        Caller->resumeReading();
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Caller->Closed; }));
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return TargetConnection.Closed; }));
        CPPUNIT_ASSERT_MESSAGE(Each.Name, Caller->Reset);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.RequestDispatcher.requestCount());
      }
    }
  }

  /// Guards against an entry whose memory a target exhausts by a response that never ends, and
  /// against telling the caller that its request did not run.
  void responsesWithoutEnd() {
    const std::string Chunked =
        "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case {
      const char *Name;
      std::string Start;
      std::string Repeated;
    };
    const Case Table[] = {
        {"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"chunk extension", Chunked + "1;a=", "xxxxxxxx"},
        {"trailers", Chunked + "1\r\na\r\n0\r\n", "A: b\r\n"},
    };
    constexpr std::size_t MaxBytes = std::size_t{16} << 20;
    for (const Case &Each : Table) {
      for (const bool IsSafe : {true, false}) {
        TestEntry Entry;
        Entry.configure({{ServiceName("s"), 1}}, 60s);
        FakeTarget Target(Each.Start);
        Entry.addTarget("t1", Target.Server.Port);
        const auto Caller = RawConnection::connect(Entry.Server.port());
        Caller->send(IsSafe ? makeRequest("GET", "/safe/1", 60s)
                            : makeRequest("POST", "/unsafe/1", 60s));
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Target.Requests == 1; }));
        RawConnection &TargetConnection = *Target.Server.Connections.back();
        std::string Block;
        while (Block.size() < 60000) {
          Block += Each.Repeated;
        }
        std::size_t BytesSent = 0;
        const bool HasEnded = runUntil([&] {
          BytesSent += TargetConnection.Closed ? 0 : TargetConnection.send(Block);
          return TargetConnection.Closed || BytesSent > MaxBytes;
        });
        CPPUNIT_ASSERT_MESSAGE(Each.Name, HasEnded && BytesSent <= MaxBytes);
        if (IsSafe) {
          continue; // The request waits for another target.
        }
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return !Caller->Received.empty(); }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string("HTTP/1.1 502 "),
                                     Caller->Received.substr(0, 13));
      }
    }
  }

  /// Guards against targets that continue to work for callers that have disconnected.
  void disconnectingCallersCancelAttempts() {
    TestEntry Entry;
    Entry.configure();
    FakeTarget Target("");
    Entry.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Entry.Server.port());
    Caller->send(makeRequest("GET", "/safe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 1; }));
    Caller->close();
    CPPUNIT_ASSERT(runUntil([&] { return Entry.Proxy.size() == 0; }));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Server.Connections.back()->Closed; }));
  }

  /// Guards against requests that get no response when the entry shuts down.
  void shutdown() {
    TestEntry Entry;
    Entry.configure();
    FakeTarget Target("");
    Entry.addTarget("t1", Target.Server.Port);
    const auto PendingCaller = RawConnection::connect(Entry.Server.port());
    PendingCaller->send(makeRequest("GET", "/safe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 1; }));
    Entry.Proxy.rejectNewRequests();
    const auto LateCaller = RawConnection::connect(Entry.Server.port());
    LateCaller->send(makeRequest("GET", "/safe/2"));
    CPPUNIT_ASSERT(runUntil([&] { return !LateCaller->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 "), LateCaller->Received.substr(0, 13));
    Entry.Proxy.failPendingRequests();
    CPPUNIT_ASSERT(runUntil([&] { return !PendingCaller->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 504 "), PendingCaller->Received.substr(0, 13));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.RequestDispatcher.requestCount());
  }

  /// Guards against status 504 at the end of a shutdown for a request that no target has executed:
  /// its caller can't repeat it if it is not idempotent.
  void requestsThatDidNotRunCanBeRepeatedAfterShutdown() {
    struct Case {
      const char *Name;
      std::string Request;
      /// Nothing if no target exists, so that the request is queued.
      std::optional<std::string> TargetResponse;
      std::string Expected;
    };
    const std::string NotExecuted = "HTTP/1.1 503 ";
    const std::string Unknown = "HTTP/1.1 504 ";
    const Case Table[] = {
        {"queued", makeRequest("GET", "/safe/1"), std::nullopt, NotExecuted},
        {"queued, not idempotent", makeRequest("POST", "/unsafe/1"), std::nullopt, NotExecuted},
        {"at a target", makeRequest("GET", "/safe/1"), "", Unknown},
        {"at a target, not idempotent", makeRequest("POST", "/unsafe/1"), "", Unknown},
    };
    for (const Case &Each : Table) {
      TestEntry Entry;
      Entry.configure();
      FakeTarget Target(Each.TargetResponse.value_or(""));
      if (Each.TargetResponse) {
        Entry.addTarget("t1", Target.Server.Port);
      }
      const auto Caller = RawConnection::connect(Entry.Server.port());
      Caller->send(Each.Request);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               return Each.TargetResponse
                                          ? Target.Requests == 1
                                          : Entry.RequestDispatcher.queueLength() == 1;
                             }));
      Entry.Proxy.rejectNewRequests();
      Entry.Proxy.failPendingRequests();
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return !Caller->Received.empty(); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Caller->Received.substr(0, 13));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{0},
                                   Entry.RequestDispatcher.requestCount());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{0}, Entry.Proxy.size());
    }
  }

  /// Guards against a request that outlives its connection: its exchange may be created at the
  /// address of the exchange before, whose end then removed it from the index.
  void callersLeaveDuringALaterRequest() {
    TestEntry Entry;
    Entry.configure();
    FakeTarget Target(makeResponse("200 OK", "Id: 7\r\nSigned: s\r\n", "good"));
    Entry.addTarget("t1", Target.Server.Port);
    auto Caller = RawConnection::connect(Entry.Server.port());
    Caller->send(makeRequest("POST", "/unsafe/1") + makeRequest("GET", "/safe/2"));
    CPPUNIT_ASSERT(runUntil([&] {
      if (Target.Requests == 1) {
        Target.Response = "";
      }
      return Target.Requests == 2;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.Proxy.size());
    Caller.reset();
    CPPUNIT_ASSERT(runUntil([&] { return Entry.Server.connectionCount() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.Proxy.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.RequestDispatcher.requestCount());
  }

  /// Guards against an attempt that writes to the deleted exchange of its request, or to the next
  /// one at the same address, because its bytes arrive in the main loop iteration in which the
  /// request ends.
  void attemptsEndWithTheirRequest() {
    enum class RequestEnd { Deadline, OtherResponse, CallerLeaves };
    struct Case {
      const char *Name;
      RequestEnd End;
      bool IsFirstAttemptFailed;
      std::string NextRequest;
      /// Status lines that the caller gets.
      std::vector<std::string> Expected;
    };
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Next = makeRequest("GET", "/safe/2");
    const Case Table[] = {
        {"error at the deadline", RequestEnd::Deadline, true, "", {"HTTP/1.1 500 No\r\n"}},
        {"error before a request", RequestEnd::Deadline, true, Next, {"HTTP/1.1 500 No\r\n", Ok}},
        {"refused", RequestEnd::Deadline, false, "", {"HTTP/1.1 504 Gateway Timeout\r\n"}},
        {"hedged", RequestEnd::OtherResponse, false, "", {Ok}},
        {"hedged before a request", RequestEnd::OtherResponse, false, Next, {Ok, Ok}},
        {"caller leaves", RequestEnd::CallerLeaves, true, "", {}},
        {"caller leaves, hedged", RequestEnd::CallerLeaves, false, "", {}},
    };
    constexpr Duration Timeout = 3s;
    const std::string Good = makeResponse("200 OK", "Id: 7\r\nSigned: s\r\n", "good");
    for (const Case &Each : Table) {
      TestEntry Entry;
      Entry.configure({{ServiceName("s"), 1}}, Timeout);
      FakeTarget First(
          Each.IsFirstAttemptFailed ? makeResponse("500 No", "Id: 7\r\nSigned: s\r\n", "why") : "");
      FakeTarget Second(HeadOfStreamedResponse);
      Entry.addTarget("first", First.Server.Port);
      const auto Caller = RawConnection::connect(Entry.Server.port());
      // The next request waits for this one, as its method is not safe.
      Caller->send(makeRequest("POST", "/safe/1") + Each.NextRequest);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return First.Requests == 1; }));
      Entry.addTarget("second", Second.Server.Port);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Second.Requests == 1; }));
      Second.RequestConnections[0]->send(bodyBytes(BufferedBytes));
      runPending();
      Entry.removeTarget("second");
      First.Response = Good;
      Second.RequestConnections[0]->send(bodyBytes(StreamingBytes));
      Second.RequestConnections[0]->waitUntilDelivered();
      switch (Each.End) {
      case RequestEnd::Deadline:
        Entry.advanceTime(Timeout);
        break;
      case RequestEnd::OtherResponse:
        First.RequestConnections[0]->send(Good);
        First.RequestConnections[0]->waitUntilDelivered();
        break;
      case RequestEnd::CallerLeaves:
        Caller->close();
        break;
      }
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               return statusLines(Caller->Received).size() >=
                                          Each.Expected.size() &&
                                      Second.RequestConnections[0]->Closed;
                             }));
      runPending();
      CPPUNIT_ASSERT_MESSAGE(Each.Name + (": " + Caller->Received.substr(0, 500)),
                             statusLines(Caller->Received) == Each.Expected);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Caller->Received.find(BodyByte) == std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{0}, Entry.Proxy.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{0},
                                   Entry.RequestDispatcher.requestCount());
    }
  }

  /// Guards against the same where the exchange is deleted because the response ahead of it is the
  /// last one of its connection.
  void attemptsEndWithTheirConnection() {
    TestEntry Entry;
    Entry.configure({{ServiceName("s"), 1}}, 3s);
    FakeTarget Target(
        "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    Entry.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Entry.Server.port());
    for (const char *Path : {"/safe/1", "/safe/2"}) {
      std::string Request = makeRequest("GET", Path);
      // Without chunks, the end of the connection marks the end of the response.
      Request.replace(Request.find("HTTP/1.1\r\n"), 10, "HTTP/1.0\r\nConnection: keep-alive\r\n");
      Caller->send(Request);
      const std::size_t Sent = Target.RequestConnections.size();
      CPPUNIT_ASSERT(runUntil([&] { return Target.RequestConnections.size() == Sent + 1; }));
    }
    RawConnection &First = *Target.RequestConnections[0];
    RawConnection &Second = *Target.RequestConnections[1];
    const std::string FirstBody(BufferedBytes + StreamingBytes, 'a');
    First.send(writeChunk(FirstBody));
    Second.send(writeChunk(bodyBytes(BufferedBytes)));
    CPPUNIT_ASSERT(runUntil([&] { return Caller->Received.ends_with(FirstBody); }));
    runPending();
    First.send(std::string(LastChunk));
    Second.send(writeChunk(bodyBytes(StreamingBytes)));
    First.waitUntilDelivered();
    Second.waitUntilDelivered();
    CPPUNIT_ASSERT(runUntil([&] { return Caller->Closed && Second.Closed; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, statusLines(Caller->Received).size());
    CPPUNIT_ASSERT(Caller->Received.ends_with(FirstBody));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.Proxy.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.RequestDispatcher.requestCount());
  }

private:
  /// Both together are too large to be buffered; the second part arrives in one segment.
  static constexpr std::size_t BufferedBytes = 262'000;
  static constexpr std::size_t StreamingBytes = 1'000;
  static constexpr char BodyByte = '~';
  static constexpr const char *HeadOfStreamedResponse =
      "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nContent-Length: 999999\r\n\r\n";

  static std::string bodyBytes(std::size_t Count) { return std::string(Count, BodyByte); }

  static std::vector<std::string> statusLines(const std::string &Text) {
    std::vector<std::string> Result;
    for (std::size_t At = Text.find("HTTP/1.1 "); At != std::string::npos;
         At = Text.find("HTTP/1.1 ", At + 1)) {
      Result.push_back(Text.substr(At, Text.find("\r\n", At) + 2 - At));
    }
    return Result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyHandlerTest);
