#include "Loopback.h"
#include "Property.h"
#include "transport/HttpServer.h"
#include "transport/SystemClock.h"

#include <map>
#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// Keeps requests until the test answers them.
class Keeper final : public HttpHandler {
public:
  void onRequest(HttpExchange &Exchange) override {
    this->Targets += Exchange.head().Method + Exchange.head().Target + Exchange.body() + ";";
    this->Pending[Exchange.head().Target] = &Exchange;
    if (this->AnswerAtOnce) {
      this->answer(Exchange.head().Target);
    }
  }
  void onCallerDisconnected(HttpExchange &Exchange) override {
    this->Gone += Exchange.head().Target + ";";
    this->Pending.erase(Exchange.head().Target);
  }
  void answer(const std::string &Target, int Status = 200) {
    HttpExchange *Exchange = this->Pending.extract(Target).mapped();
    ResponseHead Head;
    Head.Status = Status;
    Head.Reason = reasonPhrase(Status);
    Exchange->respond(std::move(Head), "answer to " + Target);
  }

  std::map<std::string, HttpExchange *> Pending;
  std::string Targets;
  std::string Gone;
  bool AnswerAtOnce = false;
};

std::string get(const std::string &Target, const std::string &Fields = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Result = 0;
  for (std::size_t Place = Text.find(Part); Place != std::string::npos;
       Place = Text.find(Part, Place + 1)) {
    ++Result;
  }
  return Result;
}

struct Bench {
  Bench() : Server(Handler, Time, 100) {
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Server.listen({"127.0.0.1", 0}));
    this->Caller = RawConnection::connect(this->Server.port());
  }
  bool received(const std::string &Part) {
    return runUntil([&] { return this->Caller->Received.find(Part) != std::string::npos; });
  }

  SystemClock Time;
  Keeper Handler;
  HttpServer Server;
  std::unique_ptr<RawConnection> Caller;
};

} // namespace

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(answersKeepTheOrder);
  CPPUNIT_TEST(nothingOvertakesAnUnsafeRequest);
  CPPUNIT_TEST(badRequests);
  CPPUNIT_TEST(callersThatLeave);
  CPPUNIT_TEST(closing);
  CPPUNIT_TEST(streams);
  CPPUNIT_TEST(abortedAnswersLookIncomplete);
  CPPUNIT_TEST(slowReaders);
  CPPUNIT_TEST(slowSendersAndIdleConnections);
  CPPUNIT_TEST(connectionsAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against answers that reach the wrong request of a connection.
  void answersKeepTheOrder() {
    Bench All;
    All.Caller->send(get("/a") + get("/b") + get("/c"));
    CPPUNIT_ASSERT(runUntil([&] { return All.Handler.Pending.size() == 3; }));
    All.Handler.answer("/c");
    All.Handler.answer("/b");
    runPending();
    CPPUNIT_ASSERT(All.Caller->Received.empty());
    All.Handler.answer("/a");
    CPPUNIT_ASSERT(All.received("answer to /c"));
    const std::string &Text = All.Caller->Received;
    CPPUNIT_ASSERT(Text.find("to /a") < Text.find("to /b") &&
                   Text.find("to /b") < Text.find("to /c"));
    All.Caller->send(get("/d"));
    CPPUNIT_ASSERT(runUntil([&] { return All.Handler.Pending.size() == 1; }));
    All.Handler.answer("/d");
    CPPUNIT_ASSERT(All.received("to /d"));
  }

  /// Guards against a request behind one that may run once: if that one fails, the caller must know
  /// that the next was not read.
  void nothingOvertakesAnUnsafeRequest() {
    Bench All;
    All.Caller->send("POST /u HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy" + get("/a"));
    CPPUNIT_ASSERT(runUntil([&] { return !All.Handler.Pending.empty(); }));
    runPending();
    CPPUNIT_ASSERT_EQUAL(std::string("POST/uxy;"), All.Handler.Targets);
    All.Handler.answer("/u");
    CPPUNIT_ASSERT(runUntil([&] { return All.Handler.Pending.contains("/a"); }));
  }

  /// Guards against smuggling, and against uploads whose end is not what the caller meant: a chunk
  /// of the size "zz" once counted as the end.
  void badRequests() {
    const std::pair<std::string, std::string> Table[] = {
        {"POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
         "HTTP/1.1 400 "},
        {"nonsense\r\n\r\n", "HTTP/1.1 400 "},
        {get("/a", "X: " + std::string(20000, 'x') + "\r\n"), "HTTP/1.1 431 "},
        {"POST /u HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 501 "},
    };
    for (const auto &[Text, Expected] : Table) {
      Bench All;
      All.Caller->send(Text);
      CPPUNIT_ASSERT_MESSAGE(Expected, All.received(Expected));
      CPPUNIT_ASSERT(runUntil([&] { return All.Caller->Closed; }));
      CPPUNIT_ASSERT(All.Handler.Targets.empty());
    }
  }

  /// Guards against work for callers that are gone.
  void callersThatLeave() {
    for (const bool ByReset : {false, true}) {
      Bench All;
      All.Caller->send(get("/a") + get("/b"));
      CPPUNIT_ASSERT(runUntil([&] { return All.Handler.Pending.size() == 2; }));
      if (ByReset) {
        All.Caller->reset();
      } else {
        All.Caller->close();
      }
      CPPUNIT_ASSERT(runUntil([&] { return All.Handler.Pending.empty(); }));
      CPPUNIT_ASSERT_EQUAL(std::string("/a;/b;"), All.Handler.Gone);
      CPPUNIT_ASSERT(runUntil([&] { return All.Server.connectionCount() == 0; }));
    }
    Bench Early;
    Early.Caller->send(get("/late"));
    Early.Caller->close();
    CPPUNIT_ASSERT(runUntil([&] { return Early.Server.connectionCount() == 0; }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not handed on at all", std::string(), Early.Handler.Targets);
  }

  /// Guards against a planned stop that cuts a request, and a connection that is closed while a
  /// later request on it is under way.
  void closing() {
    Bench All;
    All.Caller->send(get("/a") + get("/b"));
    CPPUNIT_ASSERT(runUntil([&] { return All.Handler.Pending.size() == 2; }));
    All.Server.disableKeepAlive();
    All.Server.stopListening();
    All.Handler.answer("/a");
    All.Handler.answer("/b");
    CPPUNIT_ASSERT(runUntil([&] { return All.Caller->Closed; }));
    CPPUNIT_ASSERT(!All.Caller->Reset);
    const std::string &Text = All.Caller->Received;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf(Text, "Connection: close"));
    CPPUNIT_ASSERT(Text.find("answer to /a") < Text.find("Connection: close"));
    CPPUNIT_ASSERT(All.Handler.Gone.empty());
  }

  /// Guards against bodies whose end the caller can't see.
  void streams() {
    struct Case {
      std::string Request;
      BodyFraming Framing;
      std::string Expected;
      bool Closes;
    };
    const Case Table[] = {
        {get("/a"), BodyFraming::Chunked, "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", false},
        {get("/a"), BodyFraming::UntilClose, "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", false},
        {"GET /a HTTP/1.0\r\n\r\n", BodyFraming::Chunked, "\r\n\r\nabc", true},
    };
    for (const Case &Each : Table) {
      Bench All;
      All.Caller->send(Each.Request);
      CPPUNIT_ASSERT(runUntil([&] { return !All.Handler.Pending.empty(); }));
      HttpExchange &Exchange = *All.Handler.Pending.at("/a");
      ResponseHead Head;
      Head.Status = 200;
      Head.Framing = Each.Framing;
      Exchange.begin(Head);
      Exchange.addBody("ab");
      Exchange.addBody("");
      Exchange.addBody("c");
      Exchange.end();
      CPPUNIT_ASSERT_MESSAGE(Each.Expected, All.received(Each.Expected));
      if (Each.Closes) {
        CPPUNIT_ASSERT(runUntil([&] { return All.Caller->Closed; }));
      }
    }
  }

  /// Guards against a broken answer that the caller takes for a whole one.
  void abortedAnswersLookIncomplete() {
    Bench All;
    All.Caller->send("GET /a HTTP/1.0\r\n\r\n");
    CPPUNIT_ASSERT(runUntil([&] { return !All.Handler.Pending.empty(); }));
    HttpExchange &Exchange = *All.Handler.Pending.extract("/a").mapped();
    ResponseHead Head;
    Head.Status = 200;
    Head.Framing = BodyFraming::UntilClose;
    Exchange.begin(Head);
    Exchange.addBody("part");
    CPPUNIT_ASSERT(All.received("part"));
    Exchange.abort();
    CPPUNIT_ASSERT(runUntil([&] { return All.Caller->Closed; }));
    CPPUNIT_ASSERT(All.Caller->Reset);
  }

  /// Guards against memory that a slow reader fills, and against a drained signal that is lost.
  void slowReaders() {
    Bench All;
    All.Caller->hold();
    All.Caller->send(get("/a"));
    CPPUNIT_ASSERT(runUntil([&] { return !All.Handler.Pending.empty(); }));
    HttpExchange &Exchange = *All.Handler.Pending.extract("/a").mapped();
    ResponseHead Head;
    Head.Status = 200;
    Head.Framing = BodyFraming::Chunked;
    Exchange.begin(Head);
    std::size_t Sent = 0;
    while (Exchange.unsentBytes() == 0 && Sent < (std::size_t{1} << 28)) {
      Exchange.addBody(std::string(65536, 'x'));
      Sent += 65536;
    }
    CPPUNIT_ASSERT(Exchange.unsentBytes() > 0);
    bool Drained = false;
    Exchange.setDrainedCallback([&] { Drained = true; });
    All.Caller->release();
    CPPUNIT_ASSERT(runUntil([&] { return Drained; }));
    Exchange.end();
    CPPUNIT_ASSERT(All.received("0\r\n\r\n"));
    CPPUNIT_ASSERT(All.Caller->Received.size() > Sent);
  }

  /// Guards against connections that are held open for nothing.
  void slowSendersAndIdleConnections() {
    struct Case {
      const char *Name;
      std::string Sent;
      std::string Expected;
    };
    const Case Table[] = {{"slow sender", "GET /a HTTP/1.1\r\n", "HTTP/1.1 408 "},
                          {"idle", "", ""}};
    for (const Case &Each : Table) {
      Bench All;
      CallerLimits Limits;
      Limits.HeadTimeout = 10ms;
      Limits.IdleTimeout = 10ms;
      All.Server.setLimits(Limits);
      All.Caller->send(Each.Sent);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return All.Caller->Closed; }));
      CPPUNIT_ASSERT_EQUAL(Each.Expected, All.Caller->Received.substr(0, Each.Expected.size()));
    }
  }

  /// Guards against descriptors that run out: an idle connection makes room for a new one.
  void connectionsAreBounded() {
    SystemClock Time;
    Keeper Handler;
    Handler.AnswerAtOnce = true;
    HttpServer Server(Handler, Time, 3);
    CPPUNIT_ASSERT_EQUAL(std::string(), Server.listen({"127.0.0.1", 0}));
    std::vector<std::unique_ptr<RawConnection>> Callers;
    for (int Index = 0; Index < 6; ++Index) {
      Callers.push_back(RawConnection::connect(Server.port()));
      Callers.back()->send(get("/" + std::to_string(Index)));
      RawConnection &Last = *Callers.back();
      CPPUNIT_ASSERT(runUntil([&] { return !Last.Received.empty(); }));
    }
    CPPUNIT_ASSERT(runUntil([&] { return Callers[0]->Closed && Callers[2]->Closed; }));
    CPPUNIT_ASSERT(!Callers[5]->Closed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
