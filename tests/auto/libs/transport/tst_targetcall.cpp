#include "Loopback.h"
#include "Property.h"
#include "transport/ConnectionPool.h"
#include "transport/TargetCall.h"
#include "transport/SystemClock.h"

#include <string>

using namespace anvilsaddle;

namespace {

constexpr const char *Complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Makes one call and keeps what it reports.
class Caller final : public TargetCallListener {
public:
  Caller(ConnectionPool &Connections, std::uint16_t Port, const std::string &Method) {
    OutgoingRequest Request;
    Request.Destination = {"127.0.0.1", Port};
    Request.IsHead = Method == "HEAD";
    Request.MaxIdleTime = std::chrono::seconds(5);
    Request.Head = Method + " /x HTTP/1.1\r\nHost: t\r\n\r\n";
    this->Call = std::make_unique<TargetCall>(Connections, std::move(Request), *this);
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

  std::unique_ptr<TargetCall> Call;
  std::string Body;
  bool Ended = false;
  bool Failed = false;
};

} // namespace

class TargetCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetCallTest);
  CPPUNIT_TEST(neverResent);
  CPPUNIT_TEST(connectionsAreReused);
  CPPUNIT_TEST(idleCloseIsNoticed);
  CPPUNIT_TEST(refusedConnectionSendsNothing);
  CPPUNIT_TEST(cancelledBeforeConnecting);
  CPPUNIT_TEST(incompleteAnswers);
  CPPUNIT_TEST_SUITE_END();

  const SystemClock Time{};

public:
  /// Guards against a request that is sent again when a reused connection closes.
  void neverResent() {
    struct Case {
      const char *Name;
      const char *SecondAnswer;
    };
    const Case Table[] = {
        {"closed without an answer", ""},
        {"closed within the status line", "HTTP/1.1 2"},
        {"closed within the headers", "HTTP/1.1 200 OK\r\nContent-Le"},
        {"closed within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
    };
    for (const Case &Each : Table) {
      for (const char *Method : {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST"}) {
        if (std::string(Method) == "HEAD" && std::string(Each.Name) == "closed within the body") {
          continue; // The answer to HEAD has no body.
        }
        const std::string Name = std::string(Method) + " " + Each.Name;
        const bool Head = std::string(Method) == "HEAD";
        ScriptedServer Server([&](RawConnection &Connection, int Count) {
          if (Count == 1) {
            Connection.send(Head ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" : Complete);
            return;
          }
          Connection.send(Each.SecondAnswer);
          Connection.close();
        });
        ConnectionPool Connections(this->Time);
        Caller First(Connections, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Name, First.wait() && !First.Failed);
        runPending();
        Caller Second(Connections, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Name,
                               Second.wait() && Second.Failed && Second.Call->hasStartedSending());
        runPending();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t(2), Server.Requests.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t(1), Server.Connections.size());
      }
    }
  }

  /// Guards against a new connection, which costs a round trip, for every request.
  void connectionsAreReused() {
    for (const char *Method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
      ScriptedServer Server([](RawConnection &Connection, int) { Connection.send(Complete); });
      ConnectionPool Connections(this->Time);
      for (int Round = 0; Round < 5; ++Round) {
        Caller Next(Connections, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Method, Next.wait() && !Next.Failed && Next.Body == "ok");
        runPending();
        Server.Connections.back()->Received.clear();
      }
    }
  }

  /// Guards against a request lost on a connection that the target closed while it was idle.
  void idleCloseIsNoticed() {
    for (const char *Method : {"GET", "POST"}) {
      ScriptedServer Server([](RawConnection &Connection, int) {
        Connection.send(Complete);
        Connection.close();
      });
      ConnectionPool Connections(this->Time);
      for (std::size_t Round = 1; Round <= 3; ++Round) {
        Caller Next(Connections, Server.Port, Method);
        CPPUNIT_ASSERT_MESSAGE(Method, Next.wait() && !Next.Failed);
        runPending();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Method, Round, Server.Requests.size());
      }
    }
  }

  /// Guards against "unknown" for a request that did not leave the process.
  void refusedConnectionSendsNothing() {
    std::uint16_t Port = 0;
    {
      Port = ScriptedServer([](RawConnection &, int) {}).Port;
    }
    ConnectionPool Connections(this->Time);
    Caller Next(Connections, Port, "POST");
    CPPUNIT_ASSERT(Next.wait() && Next.Failed);
    CPPUNIT_ASSERT(!Next.Call->hasStartedSending());
  }

  /// Guards against a cancelled call that is sent later.
  void cancelledBeforeConnecting() {
    ScriptedServer Server([](RawConnection &Connection, int) { Connection.send(Complete); });
    ConnectionPool Connections(this->Time);
    { Caller Dropped(Connections, Server.Port, "POST"); }
    runPending();
    CPPUNIT_ASSERT(Server.Requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Connections.size());
  }

  /// Guards against a truncated answer that looks whole, and against bytes of another answer.
  void incompleteAnswers() {
    struct Case {
      const char *Name;
      const char *Answer;
      bool Whole;
    };
    const Case Table[] = {
        {"complete", Complete, true},
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
        Connection.send(Each.Answer);
        Connection.close();
      });
      ConnectionPool Connections(this->Time);
      Caller Next(Connections, Server.Port, "GET");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Next.wait());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Whole, !Next.Failed);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Each.Whole || Next.Body == "ok");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t(1), Server.Requests.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetCallTest);
