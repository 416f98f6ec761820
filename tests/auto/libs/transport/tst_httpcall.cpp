#include "Loopback.h"
#include "Property.h"
#include "transport/ConnectionPool.h"
#include "transport/DeferredDeletion.h"
#include "transport/HttpCall.h"
#include "transport/SystemClock.h"

#include <string>

using namespace anvilsaddle;

namespace {

constexpr const char *CompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Makes one call and records its events.
class RecordingCall final : public HttpCallListener {
public:
  RecordingCall(ConnectionPool &Pool, std::uint16_t Port, const std::string &Method) {
    OutgoingRequest Request;
    Request.Destination = {"127.0.0.1", Port};
    Request.IsHead = Method == "HEAD";
    Request.MaxIdleTime = std::chrono::seconds(5);
    Request.Head = Method + " /x HTTP/1.1\r\nHost: t\r\n\r\n";
    this->Call = std::make_unique<HttpCall>(Pool, std::move(Request), *this);
    this->Call->send();
  }

  void onResponseHead(const ResponseHead &) override { this->Call->readMore(); }
  void onResponseBody(std::string Bytes, bool IsEnd) override {
    this->Body += Bytes;
    this->Ended = IsEnd;
    if (!IsEnd) {
      this->Call->readMore();
    }
  }
  void onCallFailed(const std::string &) override { this->Ended = this->Failed = true; }
  bool wait() {
    return runUntil([this] { return this->Ended; });
  }

  std::unique_ptr<HttpCall> Call;
  std::string Body;
  bool Ended = false;
  bool Failed = false;
};

/// Makes one call that skips each response to another request. Deletes the call, like the product,
/// in the iteration of the main loop after the failure.
class SkippingCall final : public HttpCallListener {
public:
  SkippingCall(ConnectionPool &Pool, std::uint16_t Port) {
    OutgoingRequest Request;
    Request.Destination = {"127.0.0.1", Port};
    Request.MaxIdleTime = std::chrono::seconds(5);
    Request.Head = "GET /x HTTP/1.1\r\nHost: t\r\n\r\n";
    this->Call = std::make_unique<HttpCall>(Pool, std::move(Request), *this);
    this->Call->send();
  }

  void onResponseHead(const ResponseHead &Head) override {
    if (Head.field("Id") == "other") {
      this->Call->skipResponse();
      return;
    }
    this->Call->readMore();
  }
  void onResponseBody(std::string, bool IsEnd) override {
    this->EndCount += IsEnd ? 1 : 0;
    if (!IsEnd) {
      this->Call->readMore();
    }
  }
  void onCallFailed(const std::string &) override {
    ++this->EndCount;
    this->EndedCalls.add(std::move(this->Call));
  }

  int EndCount = 0;

private:
  std::unique_ptr<HttpCall> Call;
  DeferredDeletion<HttpCall> EndedCalls;
};

/// Makes one call and never reads the body of its response.
class PausedCall final : public HttpCallListener {
public:
  PausedCall(ConnectionPool &Pool, std::uint16_t Port) {
    OutgoingRequest Request;
    Request.Destination = {"127.0.0.1", Port};
    Request.Head = "GET /x HTTP/1.1\r\nHost: t\r\n\r\n";
    this->Call = std::make_unique<HttpCall>(Pool, std::move(Request), *this);
    this->Call->send();
  }

  void onResponseHead(const ResponseHead &) override { this->HasHead = true; }
  void onResponseBody(std::string, bool) override {}
  void onCallFailed(const std::string &) override {}

  bool HasHead = false;

private:
  std::unique_ptr<HttpCall> Call;
};

} // namespace

class HttpCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpCallTest);
  CPPUNIT_TEST(requestsAreNeverResent);
  CPPUNIT_TEST(connectionsAreReused);
  CPPUNIT_TEST(closedIdleConnectionsAreNotReused);
  CPPUNIT_TEST(refusedConnectionSendsNothing);
  CPPUNIT_TEST(cancelledCallSendsNothing);
  CPPUNIT_TEST(incompleteResponses);
  CPPUNIT_TEST(failuresAreReportedOnce);
  CPPUNIT_TEST(pausedCallsLeaveTheMainLoopIdle);
  CPPUNIT_TEST_SUITE_END();

  const SystemClock Time{};

public:
  /// Guards against a request that is sent again when a reused connection closes.
  void requestsAreNeverResent() {
    struct Case {
      const char *Name;
      const char *SecondResponse;
    };
    const Case Table[] = {
        {"closed without a response", ""},
        {"closed within the status line", "HTTP/1.1 2"},
        {"closed within the headers", "HTTP/1.1 200 OK\r\nContent-Le"},
        {"closed within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
    };
    for (const Case &Each : Table) {
      for (const char *Method : {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST"}) {
        if (std::string(Method) == "HEAD" && std::string(Each.Name) == "closed within the body") {
          continue; // The response to HEAD has no body.
        }
        const std::string Name = std::string(Method) + " " + Each.Name;
        const bool Head = std::string(Method) == "HEAD";
        ScriptedServer Server([&](RawConnection &Connection, int Count) {
          if (Count == 1) {
            Connection.send(Head ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                 : CompleteResponse);
            return;
          }
          Connection.send(Each.SecondResponse);
          Connection.close();
        });
        ConnectionPool Pool(this->Time);
        RecordingCall First(Pool, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Name, First.wait() && !First.Failed);
        runPending();
        RecordingCall Second(Pool, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Name,
                               Second.wait() && Second.Failed && Second.Call->hasStartedSending());
        runPending();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t(2), Server.Requests.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t(1), Server.Connections.size());
      }
    }
  }

  /// Guards against opening a new connection for each request, which costs a round trip.
  void connectionsAreReused() {
    for (const char *Method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
      ScriptedServer Server(
          [](RawConnection &Connection, int) { Connection.send(CompleteResponse); });
      ConnectionPool Pool(this->Time);
      for (int Round = 0; Round < 5; ++Round) {
        RecordingCall Next(Pool, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Method, Next.wait() && !Next.Failed && Next.Body == "ok");
        runPending();
        Server.Connections.back()->Received.clear();
      }
    }
  }

  /// Guards against a request that is lost on a connection that the target closed while it was
  /// idle.
  void closedIdleConnectionsAreNotReused() {
    for (const char *Method : {"GET", "POST"}) {
      ScriptedServer Server([](RawConnection &Connection, int) {
        Connection.send(CompleteResponse);
        Connection.close();
      });
      ConnectionPool Pool(this->Time);
      for (std::size_t Round = 1; Round <= 3; ++Round) {
        RecordingCall Next(Pool, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Method, Next.wait() && !Next.Failed);
        runPending();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Method, Round, Server.Requests.size());
      }
    }
  }

  /// Guards against an unknown outcome for a request of which no byte was sent.
  void refusedConnectionSendsNothing() {
    std::uint16_t Port = 0;
    {
      Port = ScriptedServer([](RawConnection &, int) {}).Port;
    }
    ConnectionPool Pool(this->Time);
    RecordingCall Next(Pool, Port, "POST");
    CPPUNIT_ASSERT(Next.wait() && Next.Failed);
    CPPUNIT_ASSERT(!Next.Call->hasStartedSending());
  }

  /// Guards against a cancelled call whose request is still sent.
  void cancelledCallSendsNothing() {
    ScriptedServer Server(
        [](RawConnection &Connection, int) { Connection.send(CompleteResponse); });
    ConnectionPool Pool(this->Time);
    { RecordingCall Cancelled(Pool, Server.Port, "POST"); }
    runPending();
    CPPUNIT_ASSERT(Server.Requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Pool.size());
  }

  /// Guards against a truncated response that looks complete, and against bytes of another
  /// response.
  void incompleteResponses() {
    struct Case {
      const char *Name;
      const char *Response;
      bool IsComplete;
    };
    const Case Table[] = {
        {"complete", CompleteResponse, true},
        {"complete chunks",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
        {"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
        {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
         false},
        {"short chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", false},
        {"chunk size is no number",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n\r\n", false},
        {"chunk without its line end",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n", false},
        {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nokok",
         false},
        {"length and chunks",
         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n",
         false},
        {"length is no number", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok", false},
        {"no HTTP", "hello\r\n\r\n", false},
        {"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
        {"early hints first",
         "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
    };
    for (const Case &Each : Table) {
      ScriptedServer Server([&](RawConnection &Connection, int) {
        Connection.send(Each.Response);
        Connection.close();
      });
      ConnectionPool Pool(this->Time);
      RecordingCall Next(Pool, Server.Port, "GET");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Next.wait());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsComplete, !Next.Failed);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Each.IsComplete || Next.Body == "ok");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t(1), Server.Requests.size());
    }
  }

  /// Guards against a process that ends because a call reports a second failure after its deletion:
  /// a late response to another request is skipped and breaks off, at any byte.
  void failuresAreReportedOnce() {
    const std::string Length = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate";
    const std::string Chunks =
        "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n";
    const std::string BadChunk =
        "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlateXX";
    std::string Several = Length;
    Several += Length;
    Several += Chunks;
    for (const std::string &Late : {Length, Chunks, BadChunk, Several}) {
      for (std::size_t Cut = 0; Cut <= Late.size(); ++Cut) {
        for (const bool IsReused : {false, true}) {
          for (const bool IsReset : {false, true}) {
            const std::string Name = Late.substr(0, Cut) + (IsReset ? " reset" : " closed");
            ScriptedServer Server([&](RawConnection &Connection, int Count) {
              if (IsReused && Count == 1) {
                Connection.send(CompleteResponse);
                return;
              }
              Connection.send(Late.substr(0, Cut));
              IsReset ? Connection.reset() : Connection.close();
            });
            ConnectionPool Pool(this->Time);
            if (IsReused) {
              RecordingCall First(Pool, Server.Port, "GET");
              CPPUNIT_ASSERT_MESSAGE(Name, First.wait() && !First.Failed);
            }
            SkippingCall Next(Pool, Server.Port);
            CPPUNIT_ASSERT_MESSAGE(Name, runUntil([&] { return Next.EndCount > 0; }));
            runPending();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, 1, Next.EndCount);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t{0}, Pool.size());
          }
        }
      }
    }
  }

  /// Guards against a main loop that runs without a pause, and starves what waits for its idle
  /// time, because the peer of a call that is not read has reset its connection.
  void pausedCallsLeaveTheMainLoopIdle() {
    ConnectionPool Pool(this->Time);
    ScriptedServer Server(
        [](RawConnection &Connection, int) { Connection.send(CompleteResponse); });
    PausedCall Paused(Pool, Server.Port);
    CPPUNIT_ASSERT(runUntil([&] { return Paused.HasHead; }));
    Server.Connections.back()->reset();
    int IdleRounds = 0;
    g_idle_add(
        [](gpointer Data) -> gboolean {
          return ++*static_cast<int *>(Data) < 10 ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
        },
        &IdleRounds);
    CPPUNIT_ASSERT(runUntil([&] { return IdleRounds == 10; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallTest);
