#include "Loopback.h"
#include "Property.h"
#include "transport/HttpServer.h"
#include "transport/SystemClock.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// Records requests until the test responds to them.
class RecordingHandler final : public HttpHandler {
public:
  void onRequest(HttpExchange &Exchange) override {
    this->Received +=
        Exchange.head().Method + Exchange.head().RequestTarget + *Exchange.body() + ";";
    this->Pending[Exchange.head().RequestTarget] = &Exchange;
    if (this->RespondImmediately) {
      this->respond(Exchange.head().RequestTarget);
    }
  }
  void onCallerDisconnected(HttpExchange &Exchange, CloseReason Reason) override {
    this->Disconnected += Exchange.head().RequestTarget + ";";
    this->Unanswered += Exchange.head().RequestTarget + " " + toString(Reason) + ";";
    this->Pending.erase(Exchange.head().RequestTarget);
  }
  void onUnanswered(const UnansweredRequest &Request) override {
    this->Unanswered += Request.Head.RequestTarget + " " + toString(Request.Reason) + ";";
  }
  void onRejected(const RejectedRequest &Request) override {
    this->Rejected += Request.Head.RequestTarget + " " + std::to_string(Request.Status) + ";";
  }
  void respond(const std::string &Target, int Status = 200) {
    HttpExchange *Exchange = this->Pending.extract(Target).mapped();
    ResponseHead Head;
    Head.Status = Status;
    Head.Reason = reasonPhrase(Status);
    Exchange->respond(std::move(Head), "response to " + Target);
  }

  std::map<std::string, HttpExchange *> Pending;
  std::string Received;
  std::string Disconnected;
  std::string Unanswered;
  std::string Rejected;
  bool RespondImmediately = false;
};

std::string getRequest(const std::string &Target, const std::string &Fields = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

/// Runs ahead of the system clock by a duration that the test sets.
class AdvancedClock final : public Clock {
public:
  TimePoint now() const override { return this->Base.now() + this->Advance; }
  std::int64_t unixMilliseconds() const override { return this->Base.unixMilliseconds(); }

  Duration Advance{0};

private:
  SystemClock Base;
};

std::size_t countOccurrences(const std::string &Text, const std::string &Part) {
  std::size_t Result = 0;
  for (std::size_t Position = Text.find(Part); Position != std::string::npos;
       Position = Text.find(Part, Position + 1)) {
    ++Result;
  }
  return Result;
}

struct Fixture {
  explicit Fixture(std::size_t MaxConnections = 100,
                   std::shared_ptr<MemoryAccount> Memory = nullptr)
      : Server(Handler, Time, MaxConnections, std::move(Memory)) {
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Server.listen({"127.0.0.1", 0}));
    this->Caller = RawConnection::connect(this->Server.port());
  }
  bool received(const std::string &Part) {
    return runUntil([&] { return this->Caller->Received.find(Part) != std::string::npos; });
  }

  AdvancedClock Time;
  RecordingHandler Handler;
  HttpServer Server;
  std::unique_ptr<RawConnection> Caller;
};

} // namespace

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(responsesKeepTheOrder);
  CPPUNIT_TEST(unsafeRequestsBlockPipelining);
  CPPUNIT_TEST(requestsBehindTheLastOneAreNotRun);
  CPPUNIT_TEST(badRequests);
  CPPUNIT_TEST(longFieldsWithinTheLimitAreServed);
  CPPUNIT_TEST(longPartsBehindRequestsAreRefusedInTurn);
  CPPUNIT_TEST(disconnectingCallers);
  CPPUNIT_TEST(keepAliveDisabled);
  CPPUNIT_TEST(requestsInTheSocketAreAnsweredBeforeClosing);
  CPPUNIT_TEST(streamedBodies);
  CPPUNIT_TEST(abortedResponsesLookIncomplete);
  CPPUNIT_TEST(abortedResponsesFollowDeliveredOnes);
  CPPUNIT_TEST(resetsWaitForALimitedTime);
  CPPUNIT_TEST(slowReaders);
  CPPUNIT_TEST(slowSendersAndIdleConnections);
  CPPUNIT_TEST(connectionsAreBounded);
  CPPUNIT_TEST(sizeLimitsOfLaterConfigurations);
  CPPUNIT_TEST(keepAliveTimeIsAnnounced);
  CPPUNIT_TEST(announcedKeepAliveTimeIsKept);
  CPPUNIT_TEST(requestsThatWaitInTheSocketAreServed);
  CPPUNIT_TEST(requestsThatCrossAnIdleCloseStayUnread);
  CPPUNIT_TEST(unansweredRequestsAreReported);
  CPPUNIT_TEST(idleConnectionsEndWithoutReport);
  CPPUNIT_TEST(responsesBegunBeforeShutdownKeepTheConnection);
  CPPUNIT_TEST(lateRequestsAreReadBeforeTheirTimeout);
  CPPUNIT_TEST(undeliveredResponsesAreNotReset);
  CPPUNIT_TEST(bodyLimitsAboveTheMemory);
  CPPUNIT_TEST(largeBodiesWaitForMemory);
  CPPUNIT_TEST(bodiesWithoutMemoryAreRefused);
  CPPUNIT_TEST(bodiesThatNeverFitAreRefusedAtOnce);
  CPPUNIT_TEST(inputBeyondTheMemoryIsRefused);
  CPPUNIT_TEST(inputBehindRequestsIsRefused);
  CPPUNIT_TEST(endedSendersFreeTheirMemory);
  CPPUNIT_TEST(responsesReleaseTheBody);
  CPPUNIT_TEST(readersThatTakeNothingAreEnded);
  CPPUNIT_TEST(connectionsWithoutRequestsDoNotUseAllDescriptors);
  CPPUNIT_TEST(serversShareTheirConnections);
  CPPUNIT_TEST(slowBytesKeepNoScarceConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against matching responses to the wrong requests of a connection.
  void responsesKeepTheOrder() {
    Fixture Test;
    Test.Caller->send(getRequest("/a") + getRequest("/b") + getRequest("/c"));
    CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.size() == 3; }));
    Test.Handler.respond("/c");
    Test.Handler.respond("/b");
    runPending();
    CPPUNIT_ASSERT(Test.Caller->Received.empty());
    Test.Handler.respond("/a");
    CPPUNIT_ASSERT(Test.received("response to /c"));
    const std::string &Text = Test.Caller->Received;
    CPPUNIT_ASSERT(Text.find("to /a") < Text.find("to /b") &&
                   Text.find("to /b") < Text.find("to /c"));
    Test.Caller->send(getRequest("/d"));
    CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.size() == 1; }));
    Test.Handler.respond("/d");
    CPPUNIT_ASSERT(Test.received("to /d"));
  }

  /// Guards against requests that run and are then dropped: they were sent behind a request after
  /// whose response the connection closes.
  void requestsBehindTheLastOneAreNotRun() {
    struct Case {
      const char *Name;
      std::string First;
      std::string Expected;
    };
    const Case Table[] = {
        {"close", getRequest("/1", "Connection: close\r\n"), "GET/1;"},
        {"HTTP/1.0", "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n", "GET/1;"},
        {"kept open", getRequest("/1"), "GET/1;GET/2;GET/3;"},
    };
    for (const Case &Each : Table) {
      Fixture Test;
      Test.Caller->send(Each.First + getRequest("/2") + getRequest("/3"));
      CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.contains("/1"); }));
      runPending();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Test.Handler.Received);
      Test.Handler.respond("/1");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Test.received("response to /1"));
      runPending();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Test.Handler.Received);
    }
  }

  /// Guards against running a request that was pipelined after an unsafe one: if the unsafe request
  /// fails, the caller must know that the next one was not read.
  void unsafeRequestsBlockPipelining() {
    Fixture Test;
    Test.Caller->send("POST /u HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy" + getRequest("/a"));
    CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
    runPending();
    CPPUNIT_ASSERT_EQUAL(std::string("POST/uxy;"), Test.Handler.Received);
    Test.Handler.respond("/u");
    CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.contains("/a"); }));
  }

  /// Guards against request smuggling and against uploads with a wrong end: a chunk of the size
  /// "zz" was once accepted as the last one.
  void badRequests() {
    const std::pair<std::string, std::string> Table[] = {
        {"POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
         "HTTP/1.1 400 "},
        {"nonsense\r\n\r\n", "HTTP/1.1 400 "},
        {getRequest("/a", "X: " + std::string(20000, 'x') + "\r\n"), "HTTP/1.1 431 "},
        {"POST /u HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 501 "},
    };
    for (const auto &[Text, Expected] : Table) {
      Fixture Test;
      Test.Caller->send(Text);
      CPPUNIT_ASSERT_MESSAGE(Expected, Test.received(Expected));
      CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
      CPPUNIT_ASSERT(Test.Handler.Received.empty());
    }
  }

  /// Guards against the end of the process by a field that a raised limit allows, and against
  /// refusing such a field.
  void longFieldsWithinTheLimitAreServed() {
    const std::string Long(70'000, 'x');
    const std::string Table[] = {
        getRequest("/a", "Cookie: " + Long + "\r\n"),
        getRequest("/a", "A" + Long + ": b\r\n"),
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + Long + "\r\n\r\n",
    };
    for (const std::string &Each : Table) {
      Fixture Test;
      CallerLimits Limits;
      Limits.HeadBytes = std::size_t{128} * 1024;
      Test.Server.setLimits(Limits);
      std::string Unsent = Each;
      CPPUNIT_ASSERT_MESSAGE(Each.substr(0, 60), runUntil([&] {
                               Unsent.erase(0, Test.Caller->send(Unsent));
                               return !Test.Handler.Pending.empty();
                             }));
      Test.Handler.respond("/a");
      CPPUNIT_ASSERT_MESSAGE(Each.substr(0, 60), Test.received("response to /a"));
    }
  }

  /// Guards against a part of a request beyond the limits that takes the requests before it on the
  /// connection with it.
  void longPartsBehindRequestsAreRefusedInTurn() {
    const std::string Long(65'600, 'x');
    const std::string Chunked = "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string First = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    struct Case {
      const char *Name;
      std::string First;
      std::string Second;
    };
    const Case Table[] = {
        {"trailer value", First, Chunked + "2\r\nab\r\n0\r\nA: " + Long + "\r\n\r\n"},
        {"trailer name", First, Chunked + "2\r\nab\r\n0\r\n" + Long + ": b\r\n\r\n"},
        {"extension", First, Chunked + "2;a=" + Long + "\r\nab\r\n0\r\n\r\n"},
        {"field", First, getRequest("/b", "A: " + Long + "\r\n")},
        {"request target", First, getRequest("/b" + Long)},
        {"behind a safe request", getRequest("/a"), getRequest("/b", "A: " + Long + "\r\n")},
    };
    for (const Case &Each : Table) {
      Fixture Test;
      std::string Unsent = Each.First + Each.Second;
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               Unsent.erase(0, Test.Caller->send(Unsent));
                               return !Test.Handler.Pending.empty();
                             }));
      runPending();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(), Test.Caller->Received);
      Test.Handler.respond("/a");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               Unsent.erase(0, Test.Caller->send(Unsent));
                               return Test.Caller->Closed;
                             }));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Test.Caller->Reset);
      const std::size_t Answer = Test.Caller->Received.find("response to /a");
      const std::size_t Refusal = Test.Caller->Received.find("HTTP/1.1 431 ");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Answer < Refusal && Refusal != std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string::npos, Test.Handler.Received.find("/b"));
    }
  }

  /// Guards against the end of the process by a small upload, because address space for the largest
  /// permitted body, or for the announced one, is not to be had.
  void bodyLimitsAboveTheMemory() {
    const std::string Body(std::size_t{200} * 1024, 'b');
    const std::string Head = "POST /a HTTP/1.1\r\n";
    struct Case {
      const char *Name;
      std::string Request;
      std::string Expected;
    };
    const Case Table[] = {
        {"in chunks", Head + "Transfer-Encoding: chunked\r\n\r\n" + writeChunk(Body) + "0\r\n\r\n",
         "HTTP/1.1 200 "},
        {"with its length",
         Head + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body,
         "HTTP/1.1 200 "},
        {"announced as large", Head + "Content-Length: 1099511627776\r\n\r\n" + Body,
         "HTTP/1.1 503 "},
        {"chunk announced as large",
         Head + "Transfer-Encoding: chunked\r\n\r\n10000000000\r\n" + Body, ""},
    };
    for (const Case &Each : Table) {
      Fixture Test(100, std::make_shared<MemoryAccount>(MemoryLimits::forVm(112)));
      CallerLimits Limits;
      Limits.BodyBytes = std::size_t{1} << 40;
      Test.Server.setLimits(Limits);
      Test.Handler.RespondImmediately = true;
      std::string Unsent = Each.Request;
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               Unsent.erase(0, Test.Caller->send(Unsent));
                               return Each.Expected.empty() ? Unsent.empty()
                                                            : !Test.Caller->Received.empty();
                             }));
      runPending();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected,
                                   Test.Caller->Received.substr(0, Each.Expected.size()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected.empty(), Test.Caller->Received.empty());
    }
  }

  /// Guards against work for callers that have disconnected.
  void disconnectingCallers() {
    for (const bool ByReset : {false, true}) {
      Fixture Test;
      Test.Caller->send(getRequest("/a") + getRequest("/b"));
      CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.size() == 2; }));
      if (ByReset) {
        Test.Caller->reset();
      } else {
        Test.Caller->close();
      }
      CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.empty(); }));
      CPPUNIT_ASSERT_EQUAL(std::string("/a;/b;"), Test.Handler.Disconnected);
      CPPUNIT_ASSERT(runUntil([&] { return Test.Server.connectionCount() == 0; }));
    }
    Fixture Early;
    Early.Caller->send(getRequest("/late"));
    Early.Caller->close();
    CPPUNIT_ASSERT(runUntil([&] { return Early.Server.connectionCount() == 0; }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not passed to the handler", std::string(),
                                 Early.Handler.Received);
  }

  /// Guards against a planned shutdown that interrupts a request, and against closing a connection
  /// while a later request on it is in progress.
  void keepAliveDisabled() {
    Fixture Test;
    Test.Caller->send(getRequest("/a") + getRequest("/b"));
    CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.size() == 2; }));
    Test.Server.disableKeepAlive();
    Test.Server.stopListening();
    Test.Handler.respond("/a");
    Test.Handler.respond("/b");
    CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
    CPPUNIT_ASSERT(!Test.Caller->Reset);
    const std::string &Text = Test.Caller->Received;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOccurrences(Text, "Connection: close"));
    CPPUNIT_ASSERT(Text.find("response to /a") < Text.find("Connection: close"));
    CPPUNIT_ASSERT(Test.Handler.Disconnected.empty());
  }

  /// Guards against a planned shutdown that closes a connection with no answer to a request that
  /// has arrived but was not read yet.
  void requestsInTheSocketAreAnsweredBeforeClosing() {
    struct Case {
      const char *Name;
      bool IsAccepted;
      bool HasUnfinishedResponse;
    };
    const Case Table[] = {{"kept connection", true, false},
                          {"connection in the listen queue", false, false},
                          {"behind a response that began before the shutdown", true, true}};
    for (const Case &Each : Table) {
      Fixture Test;
      if (Each.IsAccepted) {
        CPPUNIT_ASSERT(runUntil([&] { return Test.Server.connectionCount() == 1; }));
      }
      HttpExchange *Unfinished = nullptr;
      if (Each.HasUnfinishedResponse) {
        Test.Caller->send(getRequest("/first"));
        CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
        Unfinished = Test.Handler.Pending.extract("/first").mapped();
        ResponseHead Head;
        Head.Status = 200;
        Head.Framing = BodyFraming::Chunked;
        Unfinished->begin(Head);
      }
      Test.Handler.RespondImmediately = true;
      Test.Caller->send(getRequest("/late"));
      Test.Server.disableKeepAlive();
      Test.Server.stopListening();
      if (Unfinished) {
        Unfinished->end();
      }
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Test.received("response to /late"));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Test.Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Test.Caller->Reset);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t{1},
                                   countOccurrences(Test.Caller->Received, "Connection: close"));
    }
  }

  /// Guards against bodies whose end the caller can't detect.
  void streamedBodies() {
    struct Case {
      std::string Request;
      BodyFraming Framing;
      std::string Expected;
      bool Closes;
    };
    const Case Table[] = {
        {getRequest("/a"), BodyFraming::Chunked, "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", false},
        {getRequest("/a"), BodyFraming::UntilClose, "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", false},
        {"GET /a HTTP/1.0\r\n\r\n", BodyFraming::Chunked, "\r\n\r\nabc", true},
    };
    for (const Case &Each : Table) {
      Fixture Test;
      Test.Caller->send(Each.Request);
      CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
      HttpExchange &Exchange = *Test.Handler.Pending.at("/a");
      ResponseHead Head;
      Head.Status = 200;
      Head.Framing = Each.Framing;
      Exchange.begin(Head);
      Exchange.addBody("ab");
      Exchange.addBody("");
      Exchange.addBody("c");
      Exchange.end();
      CPPUNIT_ASSERT_MESSAGE(Each.Expected, Test.received(Each.Expected));
      if (Each.Closes) {
        CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
      }
    }
  }

  /// Guards against an aborted response that the caller takes for a complete one.
  void abortedResponsesLookIncomplete() {
    Fixture Test;
    Test.Caller->send("GET /a HTTP/1.0\r\n\r\n");
    CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
    HttpExchange &Exchange = *Test.Handler.Pending.extract("/a").mapped();
    ResponseHead Head;
    Head.Status = 200;
    Head.Framing = BodyFraming::UntilClose;
    Exchange.begin(Head);
    Exchange.addBody("part");
    CPPUNIT_ASSERT(Test.received("part"));
    CPPUNIT_ASSERT(!Exchange.abort({}, "failed"));
    CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
    CPPUNIT_ASSERT(Test.Caller->Reset);
  }

  /// Guards against the loss of a complete response that is still on its way to a distant caller:
  /// the streamed response behind it breaks off, and the reset of the connection destroys both.
  void abortedResponsesFollowDeliveredOnes() {
    struct Case {
      const char *Name;
      std::size_t FirstBytes;
      std::size_t StreamedBytes;
      /// The response breaks off while the connection is writing.
      bool IsWriting;
    };
    const Case Table[] = {
        {"small responses", 10, 10, false},
        {"the first one fills the buffers of the caller", 80'000, 10, false},
        {"both exceed the buffers of the caller", 40'000, 20'000, false},
        {"small responses, while writing", 10, 10, true},
        {"the first one fills the buffers of the caller, while writing", 80'000, 10, true},
    };
    for (const Case &Each : Table) {
      Fixture Test;
      Test.Caller->limitReceiveBuffer();
      Test.Caller->pauseReading();
      Test.Caller->send(getRequest("/a") + getRequest("/b") + getRequest("/c"));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Test.Handler.Pending.size() == 3; }));
      ResponseHead Head;
      Head.Status = 200;
      HttpExchange &Streamed = *Test.Handler.Pending.extract("/b").mapped();
      Head.Framing = BodyFraming::Chunked;
      const std::string Body(Each.FirstBytes, 'a');
      Test.Handler.Pending.extract("/a").mapped()->respond(Head, Body + "end of /a");
      Streamed.begin(Head);
      std::optional<bool> IsReplaced;
      const auto Abort = [&] { IsReplaced = Streamed.abort({}, ""); };
      if (Each.IsWriting) {
        Streamed.setDrainedCallback(Abort);
      }
      Streamed.addBody(std::string(Each.StreamedBytes, 'b'));
      if (!Each.IsWriting) {
        runPending();
        Abort();
      }
      CPPUNIT_ASSERT_MESSAGE(Each.Name, IsReplaced == false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string("/c;"), Test.Handler.Disconnected);
      Test.Server.checkTimeouts();
      Test.Caller->resumeReading();
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Test.Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Test.Caller->Reset);
      CPPUNIT_ASSERT_MESSAGE(Each.Name,
                             Test.Caller->Received.find(Body + "end of /a") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Test.Server.connectionCount());
    }
  }

  /// Guards against a caller that never takes the responses before one that broke off, and so keeps
  /// its connection for good.
  void resetsWaitForALimitedTime() {
    Fixture Test;
    Test.Caller->limitReceiveBuffer();
    Test.Caller->pauseReading();
    Test.Caller->send(getRequest("/a") + getRequest("/b"));
    CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.size() == 2; }));
    ResponseHead Head;
    Head.Status = 200;
    Test.Handler.Pending.extract("/a").mapped()->respond(Head, std::string(300'000, 'a'));
    HttpExchange &Streamed = *Test.Handler.Pending.extract("/b").mapped();
    Streamed.begin(Head);
    CPPUNIT_ASSERT(!Streamed.abort({}, ""));
    Test.Server.checkTimeouts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Test.Server.connectionCount());
    Test.Time.Advance = 11s;
    Test.Server.checkTimeouts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Test.Server.connectionCount());
  }

  /// Guards against buffering without limit for a slow reader, and against a drained callback that
  /// is never called.
  void slowReaders() {
    Fixture Test;
    Test.Caller->pauseReading();
    Test.Caller->send(getRequest("/a"));
    CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
    HttpExchange &Exchange = *Test.Handler.Pending.extract("/a").mapped();
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
    Test.Caller->resumeReading();
    CPPUNIT_ASSERT(runUntil([&] { return Drained; }));
    Exchange.end();
    CPPUNIT_ASSERT(Test.received("0\r\n\r\n"));
    CPPUNIT_ASSERT(Test.Caller->Received.size() > Sent);
  }

  /// Guards against connections that stay open although they are idle or too slow.
  void slowSendersAndIdleConnections() {
    struct Case {
      const char *Name;
      std::string Sent;
      std::string Expected;
    };
    const Case Table[] = {{"slow sender", "GET /a HTTP/1.1\r\n", "HTTP/1.1 408 "},
                          {"idle", "", ""}};
    for (const Case &Each : Table) {
      Fixture Test;
      CallerLimits Limits;
      Limits.HeadTimeout = 10ms;
      Limits.IdleTimeout = 10ms;
      Test.Server.setLimits(Limits);
      Test.Caller->send(Each.Sent);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Test.Caller->Closed; }));
      CPPUNIT_ASSERT_EQUAL(Each.Expected, Test.Caller->Received.substr(0, Each.Expected.size()));
    }
  }

  /// Guards against large bodies that are read without limit, against a body that waits although
  /// memory is free again, and against a small request that waits behind them.
  void largeBodiesWaitForMemory() {
    constexpr std::size_t Size = 300000;
    for (const bool IsChunked : {false, true}) {
      const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{700000, 100000});
      Fixture Test(100, Memory);
      const std::string Head = "POST /first HTTP/1.1\r\nContent-Length: 500000\r\n\r\n";
      Test.Caller->send(Head + std::string(Size, 'x'));
      CPPUNIT_ASSERT(runUntil([&] { return Memory->used() >= 500000; }));
      const auto Second = RawConnection::connect(Test.Server.port());
      Second->send(IsChunked
                       ? "POST /second HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" +
                             std::string(Size, 'y') + "\r\n0\r\n\r\n"
                       : "POST /second HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" +
                             std::string(Size, 'y'));
      CPPUNIT_ASSERT(runUntil([&] { return Memory->waitingCount() == 1; }));
      const auto Small = RawConnection::connect(Test.Server.port());
      Small->send("POST /small HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
      CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.contains("/small"); }));
      CPPUNIT_ASSERT(Memory->used() <= 700000);
      CPPUNIT_ASSERT(!Test.Handler.Pending.contains("/second"));
      Test.Caller.reset();
      CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.contains("/second"); }));
      CPPUNIT_ASSERT_EQUAL(Size, Test.Handler.Pending.at("/second")->body()->size());
    }
  }

  /// Guards against a refusal for lack of memory without a promise that the caller can use.
  void bodiesWithoutMemoryAreRefused() {
    const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{700000, 100000});
    Fixture Test(100, Memory);
    CallerLimits Limits;
    Limits.HeadTimeout = 1min;
    Test.Server.setLimits(Limits);
    Test.Caller->send("POST /first HTTP/1.1\r\nContent-Length: 500000\r\n\r\nx");
    CPPUNIT_ASSERT(runUntil([&] { return Memory->used() >= 500000; }));
    const auto Second = RawConnection::connect(Test.Server.port());
    Second->send("POST /second HTTP/1.1\r\nContent-Length: 300000\r\n\r\ny");
    CPPUNIT_ASSERT(runUntil([&] { return Memory->waitingCount() == 1; }));
    Test.Time.Advance += MemoryAccount::MaxWait + 1s;
    Test.Server.checkTimeouts();
    CPPUNIT_ASSERT(runUntil([&] { return Second->Closed; }));
    CPPUNIT_ASSERT(Second->Received.find("HTTP/1.1 503 ") == 0);
    CPPUNIT_ASSERT(Second->Received.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("/second 503;"), Test.Handler.Rejected);
    CPPUNIT_ASSERT(Test.Handler.Received.empty());
    CPPUNIT_ASSERT(!Test.Caller->Closed);
  }

  /// Guards against a Retry-After for a request that this entry never has the memory for.
  void bodiesThatNeverFitAreRefusedAtOnce() {
    const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{700000, 100000});
    Fixture Test(100, Memory);
    Test.Caller->send("POST /large HTTP/1.1\r\nContent-Length: 650000\r\n\r\nx");
    CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
    CPPUNIT_ASSERT(Test.Caller->Received.find("HTTP/1.1 503 ") == 0);
    CPPUNIT_ASSERT(Test.Caller->Received.find("Retry-After: ") == std::string::npos);
  }

  /// Guards against requests without a body that together exceed the memory, complete or not, and
  /// against refusing further ordinary ones because of them.
  void inputBeyondTheMemoryIsRefused() {
    std::string Fields;
    for (int Index = 0; Index < 2000; ++Index) {
      Fields += "a:b\r\n";
    }
    const std::pair<const char *, std::string> Table[] = {
        {"incomplete head", "GET /many HTTP/1.1\r\n" + Fields},
        {"incomplete body", "POST /many HTTP/1.1\r\nContent-Length: 2\r\n" + Fields + "\r\nx"}};
    for (const auto &[Name, Text] : Table) {
      const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{700000, 100000});
      Fixture Test(100, Memory);
      std::vector<std::unique_ptr<RawConnection>> Crowd;
      for (int Index = 0; Index < 10; ++Index) {
        Crowd.push_back(RawConnection::connect(Test.Server.port()));
        Crowd.back()->send(Text);
      }
      const auto CountRefused = [&Crowd] {
        return std::count_if(Crowd.begin(), Crowd.end(), [](const auto &Each) {
          return Each->Received.find("HTTP/1.1 503 ") == 0 &&
                 Each->Received.find("Retry-After: 1\r\n") != std::string::npos;
        });
      };
      CPPUNIT_ASSERT_MESSAGE(Name, runUntil([&] { return CountRefused() >= 5; }));
      CPPUNIT_ASSERT_MESSAGE(Name, Memory->used() <= 700000);
      CPPUNIT_ASSERT_MESSAGE(Name, Memory->counts().Refusals >= 5);
      Test.Caller->send(getRequest("/small"));
      CPPUNIT_ASSERT_MESSAGE(Name,
                             runUntil([&] { return Test.Handler.Pending.contains("/small"); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::string("GET/small;"), Test.Handler.Received);
    }
  }

  /// Guards against bytes behind a request in progress that exceed the memory, and against losing
  /// the response to that request with them.
  void inputBehindRequestsIsRefused() {
    const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{40000, 10000});
    Fixture Test(100, Memory);
    Test.Caller->send("POST /slow HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.contains("/slow"); }));
    Test.Caller->send("POST /behind HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" +
                      std::string(50000, 'x'));
    CPPUNIT_ASSERT(runUntil([&] { return Memory->counts().Refusals == 1; }));
    CPPUNIT_ASSERT(Memory->used() <= 40000);
    Test.Handler.respond("/slow");
    CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
    CPPUNIT_ASSERT(Test.Caller->Received.find("HTTP/1.1 200 ") == 0);
    CPPUNIT_ASSERT(Test.Caller->Received.find("Connection: close\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("POST/slowx;"), Test.Handler.Received);
    CPPUNIT_ASSERT(Test.Handler.Unanswered.find("input_refused;") != std::string::npos);
  }

  /// Guards against memory that stays with a connection which is only kept for its last response.
  void endedSendersFreeTheirMemory() {
    const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{700000, 100000});
    Fixture Test(100, Memory);
    CallerLimits Limits;
    Limits.HeadTimeout = 10ms;
    Test.Server.setLimits(Limits);
    Test.Caller->send("POST /first HTTP/1.1\r\nContent-Length: 500000\r\n\r\nx");
    CPPUNIT_ASSERT(Test.received("HTTP/1.1 408 "));
    CPPUNIT_ASSERT(runUntil([&] { return Memory->used(MemoryKind::RequestBody) == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Test.Server.connectionCount());
  }

  /// Guards against a slow reader that holds the body of its request besides the response.
  void responsesReleaseTheBody() {
    const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{700000, 100000});
    Fixture Test(100, Memory);
    Test.Caller->send("POST /u HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Memory->used(MemoryKind::RequestBody));
    HttpExchange &Exchange = *Test.Handler.Pending.extract("/u").mapped();
    ResponseHead Head;
    Head.Status = 200;
    Head.Framing = BodyFraming::Chunked;
    Exchange.begin(Head);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Memory->used(MemoryKind::RequestBody));
    Exchange.end();
    CPPUNIT_ASSERT(Test.received("0\r\n\r\n"));
  }

  /// Guards against responses that stay in memory because their readers take nothing, against
  /// ending a reader whose memory is not needed, and against a truncated response that looks
  /// complete.
  void readersThatTakeNothingAreEnded() {
    for (const bool IsNeeded : {false, true}) {
      const std::size_t Limit = std::size_t{1} << (IsNeeded ? 20 : 30);
      const auto Memory = std::make_shared<MemoryAccount>(MemoryLimits{Limit, Limit / 8});
      Fixture Test(100, Memory);
      Test.Caller->pauseReading();
      Test.Caller->send(getRequest("/a"));
      CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
      HttpExchange *Exchange = Test.Handler.Pending.extract("/a").mapped();
      ResponseHead Head;
      Head.Status = 200;
      // More than the buffers of both sockets hold.
      Exchange->respond(Head, std::string(std::size_t{32} << 20, 'x'));
      CPPUNIT_ASSERT(Memory->used(MemoryKind::Output) > 0);
      Test.Time.Advance += 4s;
      Test.Server.checkTimeouts();
      runPending();
      CPPUNIT_ASSERT_EQUAL(std::size_t{IsNeeded ? 0U : 1U}, Test.Server.connectionCount());
      CPPUNIT_ASSERT_EQUAL(IsNeeded, Memory->used() == 0);
      CPPUNIT_ASSERT_EQUAL(std::string(IsNeeded ? "/a output_not_taken;" : ""),
                           Test.Handler.Unanswered);
    }
  }

  /// Guards against running out of file descriptors with connections on which no request is
  /// complete, and against a server that accepts nothing after they have ended.
  void connectionsWithoutRequestsDoNotUseAllDescriptors() {
    Fixture Test(8);
    CallerLimits Limits;
    Limits.HeadTimeout = 1min;
    Test.Server.setLimits(Limits);
    std::vector<std::unique_ptr<RawConnection>> Callers;
    for (int Index = 0; Index < 40; ++Index) {
      Callers.push_back(RawConnection::connect(Test.Server.port()));
      Callers.back()->send("GET /half HTTP/1.1\r\n");
      runPending();
    }
    CPPUNIT_ASSERT(Test.Server.connectionCount() <= 16);
    Callers.clear();
    const auto Last = RawConnection::connect(Test.Server.port());
    Last->send(getRequest("/last"));
    CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.contains("/last"); }));
  }

  /// Guards against servers that use up the descriptors together although each keeps its limit.
  void serversShareTheirConnections() {
    const auto Count = std::make_shared<SharedConnectionCount>(SharedConnectionCount{0, 4});
    SystemClock Time;
    RecordingHandler Handler;
    std::vector<std::unique_ptr<RawConnection>> Callers;
    {
      HttpServer First(Handler, Time, 100);
      HttpServer Second(Handler, Time, 100);
      for (HttpServer *Each : {&First, &Second}) {
        Each->shareConnectionLimit(Count);
        CPPUNIT_ASSERT_EQUAL(std::string(), Each->listen({"127.0.0.1", 0}));
        for (int Index = 0; Index < 3; ++Index) {
          Callers.push_back(RawConnection::connect(Each->port()));
          Callers.back()->send("GET /half HTTP/1.1\r\n");
        }
      }
      CPPUNIT_ASSERT(runUntil([&] { return Count->Open == 4; }));
      runPending();
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, First.connectionCount() + Second.connectionCount());
      Callers.erase(Callers.begin(), Callers.begin() + 3);
      Callers.back()->send("Host: h\r\n\r\n");
      CPPUNIT_ASSERT(runUntil([&] { return Handler.Pending.contains("/half"); }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count->Open);
  }

  /// Guards against clients that keep all connections with a byte now and then, and against ending
  /// such a client while there are connections for everyone.
  void slowBytesKeepNoScarceConnection() {
    struct Case {
      const char *Name;
      std::size_t MaxConnections;
      std::string Sent;
      Duration Elapsed;
      bool IsEnded;
    };
    const std::string Body = "POST /u HTTP/1.1\r\nContent-Length: 99\r\n\r\n";
    const Case Table[] = {
        {"head, scarce", 1, "GET /a HTTP/1.1\r\n", 4s, true},
        {"head, not scarce", 100, "GET /a HTTP/1.1\r\n", 4s, false},
        {"body, scarce", 1, Body, 11s, true},
        {"body, scarce, in time", 1, Body, 9s, false},
        {"body, not scarce", 100, Body, 11s, false},
    };
    for (const Case &Each : Table) {
      Fixture Test(Each.MaxConnections);
      Test.Caller->send(Each.Sent + "x");
      CPPUNIT_ASSERT(runUntil([&] { return Test.Server.connectionCount() == 1; }));
      runPending();
      for (Duration Elapsed{0}; Elapsed < Each.Elapsed; Elapsed += 1s) {
        Test.Time.Advance += 1s;
        // One byte of a body or of the name of a field.
        Test.Caller->send("x");
        Test.Caller->waitUntilDelivered();
        runPending();
      }
      Test.Server.checkTimeouts();
      runPending();
      if (Each.IsEnded) {
        CPPUNIT_ASSERT_MESSAGE(Each.Name, Test.received("HTTP/1.1 408 "));
      } else {
        CPPUNIT_ASSERT_MESSAGE(Each.Name, Test.Caller->Received.empty());
      }
    }
  }

  /// Guards against running out of file descriptors: the server closes an idle connection to accept
  /// a new one.
  void connectionsAreBounded() {
    SystemClock Time;
    RecordingHandler Handler;
    Handler.RespondImmediately = true;
    HttpServer Server(Handler, Time, 3);
    CPPUNIT_ASSERT_EQUAL(std::string(), Server.listen({"127.0.0.1", 0}));
    std::vector<std::unique_ptr<RawConnection>> Callers;
    for (int Index = 0; Index < 6; ++Index) {
      Callers.push_back(RawConnection::connect(Server.port()));
      Callers.back()->send(getRequest("/" + std::to_string(Index)));
      RawConnection &Last = *Callers.back();
      CPPUNIT_ASSERT(runUntil([&] { return !Last.Received.empty(); }));
    }
    CPPUNIT_ASSERT(runUntil([&] { return Callers[0]->Closed && Callers[2]->Closed; }));
    CPPUNIT_ASSERT(!Callers[5]->Closed);
  }

  /// Guards against a kept connection that goes on with the size limits of an older configuration.
  /// A request is judged by those in force when its head is complete.
  void sizeLimitsOfLaterConfigurations() {
    constexpr std::size_t Small = 1000;
    constexpr std::size_t Large = 100'000;
    const std::string Body(Large, 'b');
    const std::string Head = "POST /u HTTP/1.1\r\nHost: h\r\n";
    const std::string LengthHead = Head + "Content-Length: 100000\r\n\r\n";
    const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string Chunks = "186a0\r\n" + Body + "\r\n0\r\n\r\n";
    struct Case {
      const char *Name;
      std::size_t LimitBefore;
      std::size_t LimitAfter;
      std::string SentBefore;
      std::string SentAfter;
      bool IsServed;
    };
    const Case Table[] = {
        {"raised before a body with a length", Small, Large, "", LengthHead + Body, true},
        {"raised before chunks", Small, Large, "", ChunkedHead + Chunks, true},
        {"raised within the head", Small, Large, Head, "Content-Length: 100000\r\n\r\n" + Body,
         true},
        {"lowered before a body with a length", Large, Small, "", LengthHead + Body, false},
        {"lowered before chunks", Large, Small, "", ChunkedHead + Chunks, false},
        {"lowered within a body with a length", Large, Small, LengthHead + "b", Body.substr(1),
         true},
        {"lowered within chunks", Large, Small, ChunkedHead, Chunks, true},
        {"raised within chunks", Small, Large, ChunkedHead, Chunks, false},
    };
    for (const Case &Each : Table) {
      Fixture Test;
      CallerLimits Limits;
      Limits.BodyBytes = Each.LimitBefore;
      Test.Server.setLimits(Limits);
      Test.Handler.RespondImmediately = true;
      Test.Caller->send(getRequest("/a"));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Test.received("response to /a"));
      Test.Caller->send(Each.SentBefore);
      runPending();
      Limits.BodyBytes = Each.LimitAfter;
      Test.Server.setLimits(Limits);
      std::string Unsent = Each.SentAfter;
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               Unsent.erase(0, Test.Caller->send(Unsent));
                               const std::string &Received = Test.Caller->Received;
                               return Received.find("response to /u") != std::string::npos ||
                                      Received.find("HTTP/1.1 413") != std::string::npos;
                             }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsServed,
                                   Test.Caller->Received.find("response to /u") !=
                                       std::string::npos);
    }
  }

  /// Guards against callers that reuse a connection at the moment at which the entry closes it as
  /// idle, because they don't know its timeout.
  void keepAliveTimeIsAnnounced() {
    struct Case {
      Duration IdleTimeout;
      std::string Fields;
      std::string Expected;
    };
    const Case Table[] = {
        {15s, "", "Keep-Alive: timeout=12\r\n"},
        {1250ms, "", "Keep-Alive: timeout=1\r\n"},
        {1200ms, "", ""},
        {15s, "Connection: close\r\n", ""},
    };
    for (const Case &Each : Table) {
      Fixture Test;
      CallerLimits Limits;
      Limits.IdleTimeout = Each.IdleTimeout;
      Test.Server.setLimits(Limits);
      Test.Handler.RespondImmediately = true;
      Test.Caller->send(getRequest("/a", Each.Fields));
      CPPUNIT_ASSERT(Test.received("response to /a"));
      const std::size_t Expected = Each.Expected.empty() ? 0 : 1;
      CPPUNIT_ASSERT_EQUAL(Expected, countOccurrences(Test.Caller->Received, "Keep-Alive"));
      CPPUNIT_ASSERT(Test.Caller->Received.find(Each.Expected) != std::string::npos);
    }
  }

  /// Guards against a configuration with a shorter idle timeout that closes connections which
  /// callers were told to reuse for longer.
  void announcedKeepAliveTimeIsKept() {
    Fixture Test;
    Test.Handler.RespondImmediately = true;
    Test.Caller->send(getRequest("/a"));
    CPPUNIT_ASSERT(Test.received("Keep-Alive: timeout=12\r\n"));
    CallerLimits Limits;
    Limits.IdleTimeout = 2s;
    Test.Server.setLimits(Limits);
    Test.Time.Advance += 12s;
    Test.Server.checkTimeouts();
    runPending();
    CPPUNIT_ASSERT(!Test.Caller->Closed);
    Test.Caller->send(getRequest("/b"));
    CPPUNIT_ASSERT(Test.received("Keep-Alive: timeout=1\r\n"));
    Test.Time.Advance += 3s;
    CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
  }

  /// Guards against closing a connection as idle while a request waits unread in its socket: a busy
  /// entry dropped such requests without a response.
  void requestsThatWaitInTheSocketAreServed() {
    std::unique_ptr<RawConnection> Second;
    const std::pair<const char *, std::function<void(Fixture &)>> Table[] = {
        {"idle timeout",
         [](Fixture &Test) {
           Test.Time.Advance = 2 * CallerLimits().IdleTimeout;
           Test.Server.checkTimeouts();
         }},
        {"connection limit",
         [&](Fixture &Test) { Second = RawConnection::connect(Test.Server.port()); }},
        {"shutdown", [](Fixture &Test) { Test.Server.stopListening(); }},
    };
    for (const auto &[Name, Close] : Table) {
      Fixture Test(1);
      Test.Handler.RespondImmediately = true;
      CPPUNIT_ASSERT(runUntil([&] { return Test.Server.connectionCount() == 1; }));
      Test.Caller->send(getRequest("/a"));
      Close(Test);
      CPPUNIT_ASSERT_MESSAGE(Name, Test.received("response to /a"));
    }
  }

  /// Guards against reading a request that arrives after an idle connection was closed: the caller
  /// can repeat it only if it knows that the request was not read.
  void requestsThatCrossAnIdleCloseStayUnread() {
    std::unique_ptr<RawConnection> Second;
    const std::pair<const char *, std::function<void(Fixture &)>> Table[] = {
        {"idle timeout", [](Fixture &Test) { Test.Time.Advance = 2 * CallerLimits().IdleTimeout; }},
        {"connection limit",
         [&](Fixture &Test) { Second = RawConnection::connect(Test.Server.port()); }},
        {"shutdown", [](Fixture &Test) { Test.Server.stopListening(); }},
    };
    for (const auto &[Name, Close] : Table) {
      Fixture Test(1);
      CPPUNIT_ASSERT(runUntil([&] { return Test.Server.connectionCount() == 1; }));
      Close(Test);
      CPPUNIT_ASSERT_MESSAGE(Name, runUntil([&] { return Test.Caller->Closed; }));
      Test.Caller->send(getRequest("/a"));
      runPending();
      CPPUNIT_ASSERT_MESSAGE(Name, Test.Server.unanswered() == UnansweredCounts());
    }
  }

  /// Guards against a connection that ends without a trace although a request on it has no complete
  /// response.
  void unansweredRequestsAreReported() {
    struct Case {
      const char *Name;
      std::function<void(Fixture &)> Act;
      CloseReason Reason;
      RequestStage Stage;
      std::string Expected;
    };
    const auto ReceiveTwo = [](Fixture &Test) {
      Test.Caller->send(getRequest("/a") + getRequest("/b"));
      CPPUNIT_ASSERT(runUntil([&] { return Test.Handler.Pending.size() == 2; }));
    };
    const Case Table[] = {
        {"the caller closes",
         [&](Fixture &Test) {
           ReceiveTwo(Test);
           Test.Caller->close();
         },
         CloseReason::CallerClosed, RequestStage::InProgress, "/a caller_closed;/b caller_closed;"},
        {"the caller resets",
         [&](Fixture &Test) {
           ReceiveTwo(Test);
           Test.Caller->reset();
         },
         CloseReason::ReadFailed, RequestStage::InProgress, "/a read_failed;/b read_failed;"},
        {"the caller closes before its request is complete",
         [](Fixture &Test) {
           Test.Caller->send("GET /a HTTP/1.1\r\n");
           runPending();
           Test.Caller->close();
         },
         CloseReason::CallerClosed, RequestStage::Incomplete, " caller_closed;"},
        {"the caller closes while its request waits for the one before",
         [](Fixture &Test) {
           Test.Caller->send("POST /u HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + getRequest("/a"));
           CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
           Test.Caller->close();
         },
         CloseReason::CallerClosed, RequestStage::Unprocessed,
         "/u caller_closed;/a caller_closed;"},
        {"the response waits for the one before",
         [&](Fixture &Test) {
           ReceiveTwo(Test);
           Test.Handler.respond("/b");
           Test.Caller->close();
         },
         CloseReason::CallerClosed, RequestStage::Unsent, "/a caller_closed;/b caller_closed;"},
        {"the response can't be written",
         [&](Fixture &Test) {
           Test.Caller->send(getRequest("/a"));
           CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
           Test.Caller->reset();
           Test.Handler.respond("/a");
         },
         CloseReason::WriteFailed, RequestStage::Unsent, "/a write_failed;"},
        {"the response before is truncated",
         [&](Fixture &Test) {
           ReceiveTwo(Test);
           HttpExchange &Exchange = *Test.Handler.Pending.extract("/a").mapped();
           Exchange.begin({});
           Exchange.abort({}, "failed");
         },
         CloseReason::TruncatedResponse, RequestStage::InProgress,
         "/a truncated_response;/b truncated_response;"},
        {"the request follows the last response",
         [](Fixture &Test) {
           Test.Handler.RespondImmediately = true;
           Test.Caller->send(getRequest("/a", "Connection: close\r\n"));
           CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
           Test.Caller->send(getRequest("/b"));
         },
         CloseReason::LastResponse, RequestStage::Unread, " last_response;"},
        {"the request crosses the close of an idle connection",
         [](Fixture &Test) {
           CallerLimits Limits;
           Limits.IdleTimeout = 10ms;
           Test.Server.setLimits(Limits);
           Test.Handler.RespondImmediately = true;
           Test.Caller->send(getRequest("/a"));
           CPPUNIT_ASSERT(Test.received("response to /a"));
           CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
           Test.Caller->send(getRequest("/b"));
         },
         CloseReason::IdleTimeout, RequestStage::Unread, " idle_timeout;"},
        {"the request crosses a shutdown",
         [](Fixture &Test) {
           Test.Handler.RespondImmediately = true;
           Test.Caller->send(getRequest("/a"));
           CPPUNIT_ASSERT(Test.received("response to /a"));
           Test.Server.stopListening();
           CPPUNIT_ASSERT(runUntil([&] { return Test.Caller->Closed; }));
           Test.Caller->send(getRequest("/b"));
         },
         CloseReason::Shutdown, RequestStage::Unread, " shutdown;"},
    };
    for (const Case &Each : Table) {
      Fixture Test;
      Each.Act(Test);
      const auto Count = [&] { return Test.Server.unanswered().count(Each.Reason, Each.Stage); };
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Count() > 0; }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Test.Handler.Unanswered);
    }
  }

  /// Guards against reports of connections that end while nothing is left to answer.
  void idleConnectionsEndWithoutReport() {
    Fixture Test;
    Test.Handler.RespondImmediately = true;
    Test.Caller->send(getRequest("/a"));
    CPPUNIT_ASSERT(Test.received("response to /a"));
    Test.Caller->close();
    CPPUNIT_ASSERT(runUntil([&] { return Test.Server.connectionCount() == 0; }));
    CPPUNIT_ASSERT(Test.Server.unanswered() == UnansweredCounts());
  }

  /// Guards against dropping a request after a response that began before the shutdown and so did
  /// not announce the close of the connection.
  void responsesBegunBeforeShutdownKeepTheConnection() {
    Fixture Test;
    Test.Caller->send(getRequest("/first"));
    CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
    HttpExchange &First = *Test.Handler.Pending.extract("/first").mapped();
    ResponseHead Head;
    Head.Status = 200;
    Head.Framing = BodyFraming::Chunked;
    First.begin(Head);
    Test.Handler.RespondImmediately = true;
    Test.Server.disableKeepAlive();
    First.addBody("x");
    First.end();
    Test.Caller->send(getRequest("/next"));
    CPPUNIT_ASSERT(Test.received("response to /next"));
    CPPUNIT_ASSERT(Test.received("Connection: close"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Test.Handler.Unanswered);
  }

  /// Guards against rejecting a request as too slow although its end waits in the socket, which
  /// happens after the process was stopped for seconds.
  void lateRequestsAreReadBeforeTheirTimeout() {
    Fixture Test;
    Test.Handler.RespondImmediately = true;
    Test.Caller->send("GET /slow HTTP/1.1\r\n");
    // The response on a second connection shows that the first one was read.
    const auto Second = RawConnection::connect(Test.Server.port());
    Second->send(getRequest("/second"));
    CPPUNIT_ASSERT(runUntil([&] { return !Second->Received.empty(); }));
    Test.Time.Advance = 2 * CallerLimits().HeadTimeout;
    Test.Caller->send("Host: h\r\n\r\n");
    Test.Server.checkTimeouts();
    CPPUNIT_ASSERT(Test.received("response to /slow"));
  }

  /// Guards against resetting a connection whose last response is still on its way over a full
  /// link.
  void undeliveredResponsesAreNotReset() {
    constexpr std::size_t BodyBytes = 100'000;
    constexpr int SmallBuffer = 4096;
    Fixture Test;
    const int Caller = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(Caller, SOL_SOCKET, SO_RCVBUF, &SmallBuffer, sizeof(SmallBuffer));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Test.Server.port());
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, connect(Caller, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)));
    const auto Send = [Caller](const std::string &Text) {
      return send(Caller, Text.data(), Text.size(), MSG_NOSIGNAL) > 0;
    };
    CPPUNIT_ASSERT(Send(getRequest("/a")));
    CPPUNIT_ASSERT(runUntil([&] { return !Test.Handler.Pending.empty(); }));
    ResponseHead Head;
    Head.Status = 200;
    Test.Handler.Pending.extract("/a").mapped()->respond(std::move(Head),
                                                         std::string(BodyBytes, 'x'));
    Test.Time.Advance = 2s;
    Test.Server.disableKeepAlive();
    Test.Server.stopListening();
    CPPUNIT_ASSERT(Send(getRequest("/next")));
    std::size_t Received = 0;
    ssize_t Count = 0;
    CPPUNIT_ASSERT(runUntil([&] {
      std::array<char, SmallBuffer> Buffer;
      while ((Count = recv(Caller, Buffer.data(), Buffer.size(), MSG_DONTWAIT)) > 0) {
        Received += static_cast<std::size_t>(Count);
      }
      return Count == 0 || errno != EAGAIN;
    }));
    ::close(Caller);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("orderly end", ssize_t{0}, Count);
    CPPUNIT_ASSERT(Received > BodyBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
