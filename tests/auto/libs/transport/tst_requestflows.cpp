#include "Batches.h"
#include "FakeProtocol.h"
#include "Loopback.h"
#include "Property.h"
#include "coordination/Dispatcher.h"
#include "model/SeededRandom.h"
#include "protocol/Metrics.h"
#include "transport/ForwardHandler.h"
#include "transport/HttpServer.h"
#include "transport/ProbeRunner.h"
#include "transport/RequestFlows.h"
#include "transport/SystemClock.h"
#include "transport/ConnectionPool.h"

#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

Topology places() {
  Topology Result;
  Result.OwnDomain = FailureDomainName("a1");
  Result.OwnRegion = RegionName("a");
  Result.RegionByDomain = {{FailureDomainName("a1"), RegionName("a")}};
  return Result;
}

/// The way of a request through one entry, from the caller's socket to the target's.
class Entry {
public:
  Entry()
      : Random(3), Decisions(places(), {}, "127.0.0.1", Random), Connections(Time),
        Probes(Connections, Protocol,
               {[this](const TargetName &Name, const ProbeReport &Report) {
                  this->Decisions.onProbe(Name, Report, this->Time.now());
                  this->settle();
                },
                [this](const TargetName &Name, ProbeFailure Failure, const std::string &) {
                  this->Decisions.onProbeFailed(Name, Failure, this->Time.now());
                  this->settle();
                }}),
        Flows(
            {Decisions, Connections, Protocol, Counters, Time, Random, [this] { this->settle(); }}),
        Server(Flows, Time, 100) {
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Server.listen({"127.0.0.1", 0}));
    this->Ticks = g_timeout_add(
        2,
        [](gpointer Data) -> gboolean {
          auto &Self = *static_cast<Entry *>(Data);
          Self.Decisions.onTick(Self.Time.now());
          Self.settle();
          return G_SOURCE_CONTINUE;
        },
        this);
  }
  ~Entry() { g_source_remove(this->Ticks); }
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  void configure() {
    Configuration Settings;
    Settings.Version = 1;
    for (const bool Idempotent : {true, false}) {
      Route Choice;
      Choice.Name = RouteName(Idempotent ? "safe" : "unsafe");
      Choice.Host = "h";
      Choice.PathPrefix = Idempotent ? "/safe/" : "/unsafe/";
      Choice.Idempotent = Idempotent;
      Choice.Timeout = 400ms;
      Choice.LatencyObjective = 200ms;
      Choice.MaxTargets = 2;
      Choice.Services = {{ServiceName("s"), 1}};
      Settings.Routes.push_back(Choice);
    }
    this->Flows.setConfiguration(Settings);
  }

  void addTarget(const std::string &Name, std::uint16_t Port) {
    Target Value;
    Value.Name = TargetName(Name);
    Value.Service = ServiceName("s");
    Value.Address = {"127.0.0.1", Port};
    Value.Domain = FailureDomainName("a1");
    this->Decisions.targets().apply(batch(false, {TargetRegistered{Value}}), this->Time.now());
  }

  SystemClock Time;
  SeededRandom Random;
  FakeProtocol Protocol;
  Metrics Counters;
  Dispatcher Decisions;
  ConnectionPool Connections;
  ProbeRunner Probes;
  RequestFlows Flows;
  HttpServer Server;

private:
  void settle() {
    if (std::exchange(this->Settling, true)) {
      return;
    }
    for (auto Next = this->Decisions.takeEffects(); !Next.empty();
         Next = this->Decisions.takeEffects()) {
      for (const Effect &Each : Next) {
        std::visit([this](const auto &Order) { this->carryOut(Order); }, Each);
      }
    }
    this->Settling = false;
  }
  void carryOut(const ProbeTarget &Order) { this->Probes.start(Order); }
  template <typename Order> void carryOut(const Order &Each) { this->Flows.apply(Each); }

  bool Settling = false;
  guint Ticks = 0;
};

/// Answers probes with an idle report, and requests as the test says.
class TargetStandin {
public:
  explicit TargetStandin(std::string Answer)
      : Answer(std::move(Answer)), Server([this](RawConnection &Caller, int) {
          const std::string &Head = this->Server.Requests.back();
          if (Head.find("Expect-Instance") == std::string::npos) {
            Caller.send("HTTP/1.1 200 OK\r\nLoad: 0\r\nContent-Length: 0\r\n\r\n");
            return;
          }
          ++this->Requests;
          Caller.send(this->Answer);
        }) {}

  std::string Answer;
  int Requests = 0;
  ScriptedServer Server;
};

std::string answer(const std::string &Status, const std::string &Fields, const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Fields + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string request(const std::string &Method, const std::string &Path) {
  return Method + " " + Path + " HTTP/1.1\r\nHost: h\r\nId: 7\r\nLeft: 5000\r\n" +
         (Method == "POST" ? "Content-Length: 2\r\n\r\nab" : "\r\n");
}

} // namespace

class RequestFlowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFlowsTest);
  CPPUNIT_TEST(answers);
  CPPUNIT_TEST(requestsOfOtherEntries);
  CPPUNIT_TEST(silentTargets);
  CPPUNIT_TEST(pathsStayAsSent);
  CPPUNIT_TEST(downloadsWaitForCallers);
  CPPUNIT_TEST(leavingCallersCancel);
  CPPUNIT_TEST(shutdown);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a caller that gets something else than its target's whole answer, a second run
  /// of what may run once, and a refusal that is not true.
  void answers() {
    const std::string Mine = "Id: 7\r\nSigned: s\r\nX-Extra: kept\r\nKeep-Alive: timeout=5\r\n";
    const std::string Good = answer("200 OK", Mine, "good");
    struct Case {
      const char *Name;
      std::string Request;
      std::string Answer;
      std::string Expected;
      int Requests;
    };
    const Case Table[] = {
        {"whole", request("GET", "/safe/1"), Good,
         "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nX-Extra: kept\r\nContent-Length: 4\r\n\r\ngood",
         1},
        {"unsafe", request("POST", "/unsafe/1"), Good, "HTTP/1.1 200 OK\r\n", 1},
        {"unsafe shed", request("POST", "/unsafe/1"), answer("503 Busy", "Not-Run: 1\r\n", ""),
         "HTTP/1.1 503 ", 1},
        {"unsafe unsigned", request("POST", "/unsafe/1"), answer("200 OK", "Id: 7\r\n", "x"),
         "HTTP/1.1 502 ", 1},
        {"unsafe failed", request("POST", "/unsafe/1"), answer("500 No", Mine, "why"),
         "HTTP/1.1 500 No\r\nId: 7\r\nSigned: s\r\n", 1},
        {"no route", request("GET", "/other/"), Good, "HTTP/1.1 404 ", 0},
    };
    for (const Case &Each : Table) {
      Entry Node;
      Node.configure();
      TargetStandin Target(Each.Answer);
      Node.addTarget("t1", Target.Server.Port);
      const auto Caller = RawConnection::connect(Node.Server.port());
      Caller->send(Each.Request);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               return Caller->Received.find("\r\n\r\n") != std::string::npos;
                             }));
      runPending();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected,
                                   Caller->Received.substr(0, Each.Expected.size()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Requests, Target.Requests);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Node.Flows.size());
    }
    Entry Unconfigured;
    const auto Caller = RawConnection::connect(Unconfigured.Server.port());
    Caller->send(request("GET", "/safe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return !Caller->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 "), Caller->Received.substr(0, 13));
    CPPUNIT_ASSERT(Caller->Received.find("Retry-After: 0.3") != std::string::npos);
  }

  /// Guards against requests without readable terms of the entry that passed them on, against terms
  /// that reach a target, and against a wait that the other entry didn't allow.
  void requestsOfOtherEntries() {
    const std::string Good = answer("200 OK", "Id: 7\r\nSigned: s\r\n", "good");
    struct Case {
      const char *Mark;
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
      Entry Node;
      Node.configure();
      ForwardHandler Handler(Node.Flows);
      HttpServer Forwards(Handler, Node.Time, 10);
      CPPUNIT_ASSERT_EQUAL(std::string(), Forwards.listen({"127.0.0.1", 0}));
      TargetStandin Target(Good);
      if (Each.HasTarget) {
        Node.addTarget("t1", Target.Server.Port);
      }
      const auto Other = RawConnection::connect(Forwards.port());
      std::string Text = request("POST", "/unsafe/1");
      Text.insert(Text.find("Id: 7"), Each.Mark);
      Other->send(Text);
      CPPUNIT_ASSERT_MESSAGE(Each.Mark, runUntil([&] { return !Other->Received.empty(); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Mark, Each.Expected,
                                   Other->Received.substr(0, Each.Expected.size()));
      CPPUNIT_ASSERT_EQUAL(Each.Requests, Target.Requests);
      for (const std::string &Head : Target.Server.Requests) {
        CPPUNIT_ASSERT(Head.find("Forwarded") == std::string::npos);
      }
    }
  }

  /// Guards against callers that wait for a target that says nothing, and against a "not run" for
  /// what may have run.
  void silentTargets() {
    Entry Node;
    Node.configure();
    TargetStandin Target("");
    Node.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Node.Server.port());
    Caller->send(request("POST", "/unsafe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return !Caller->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 504 "), Caller->Received.substr(0, 13));
    CPPUNIT_ASSERT_EQUAL(1, Target.Requests);
    CPPUNIT_ASSERT_MESSAGE("the request is cancelled",
                           runUntil([&] { return Target.Server.Connections.back()->Closed; }));
  }

  /// Guards against a target that serves another path than the one that was routed.
  void pathsStayAsSent() {
    const std::string Good = answer("200 OK", "Id: 7\r\nSigned: s\r\n", "good");
    const char *const Table[] = {"/safe/x",         "/safe/x?a=%20b&c", "/safe/a%20b",
                                 "/safe/a%2Fb",     "/safe/a%252Fb",    "/safe/a%0D%0AX:b",
                                 "/safe/../safe/x", "/safe/%2e%2E/x"};
    for (const char *Each : Table) {
      Entry Node;
      Node.configure();
      TargetStandin Target(Good);
      Node.addTarget("t1", Target.Server.Port);
      const auto Caller = RawConnection::connect(Node.Server.port());
      Caller->send(request("GET", Each));
      CPPUNIT_ASSERT_MESSAGE(Each, runUntil([&] { return !Caller->Received.empty(); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each, std::string("HTTP/1.1 200 "),
                                   Caller->Received.substr(0, 13));
      const std::string Line = std::string("GET ") + Each + " HTTP/1.1\r\n";
      CPPUNIT_ASSERT_MESSAGE(Target.Server.Requests.back(),
                             Target.Server.Requests.back().starts_with(Line));
    }
  }

  /// Guards against an answer that fills memory because its caller reads slowly.
  void downloadsWaitForCallers() {
    constexpr std::size_t Megabyte = std::size_t{1} << 20;
    constexpr std::size_t Size = 48 * Megabyte;
    Entry Node;
    Node.configure();
    TargetStandin Target("HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nContent-Length: " +
                         std::to_string(Size) + "\r\n\r\n");
    Node.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Node.Server.port());
    Caller->hold();
    Caller->send(request("GET", "/safe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 1; }));
    RawConnection &AtTarget = *Target.Server.Connections.back();
    std::string Body(Size, 'x');
    for (std::size_t Place = 0; Place < Size; Place += 4096) {
      Body[Place] = static_cast<char>('a' + Place / 4096 % 26);
    }
    std::size_t Offset = 0;
    const auto SendMore = [&] {
      const std::size_t Count =
          Offset < Size ? AtTarget.send(Body.substr(Offset, Megabyte)) : std::size_t{0};
      Offset += Count;
      return Count;
    };
    do {
      runPending();
    } while (SendMore() > 0);
    CPPUNIT_ASSERT_MESSAGE("bytes taken from the target: " + std::to_string(Offset),
                           Offset < 24 * Megabyte);
    Caller->release();
    const auto IsComplete = [&] {
      return Caller->Received.size() >= Size && Caller->Received.ends_with(Body);
    };
    CPPUNIT_ASSERT(runUntil([&] {
      SendMore();
      return Caller->Received.size() > Size + 50 && IsComplete();
    }));
  }

  /// Guards against targets that go on working for callers that left.
  void leavingCallersCancel() {
    Entry Node;
    Node.configure();
    TargetStandin Target("");
    Node.addTarget("t1", Target.Server.Port);
    const auto Caller = RawConnection::connect(Node.Server.port());
    Caller->send(request("GET", "/safe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 1; }));
    Caller->close();
    CPPUNIT_ASSERT(runUntil([&] { return Node.Flows.size() == 0; }));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Server.Connections.back()->Closed; }));
  }

  /// Guards against requests that a planned stop leaves without an answer.
  void shutdown() {
    Entry Node;
    Node.configure();
    TargetStandin Target("");
    Node.addTarget("t1", Target.Server.Port);
    const auto Running = RawConnection::connect(Node.Server.port());
    Running->send(request("GET", "/safe/1"));
    CPPUNIT_ASSERT(runUntil([&] { return Target.Requests == 1; }));
    Node.Flows.rejectNewRequests();
    const auto Late = RawConnection::connect(Node.Server.port());
    Late->send(request("GET", "/safe/2"));
    CPPUNIT_ASSERT(runUntil([&] { return !Late->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 "), Late->Received.substr(0, 13));
    Node.Flows.failPendingRequests();
    CPPUNIT_ASSERT(runUntil([&] { return !Running->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 504 "), Running->Received.substr(0, 13));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Node.Decisions.requestCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFlowsTest);
