#include "Property.h"
#include "ProxyBench.h"

#include <string>

using namespace anvilsaddle;

namespace {
constexpr const char *Complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::size_t Megabyte = 1 << 20;

/// Body whose bytes depend on their position.
std::string pattern(std::size_t Size) {
  std::string Result(Size, ' ');
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Result[Index] = static_cast<char>('a' + (Index * 31 + Index / 4099) % 26);
  }
  return Result;
}

std::string bodyOf(const std::string &Answer) {
  const std::size_t End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? "" : Answer.substr(End + 4);
}

bool has(const std::string &Text, const char *Part) { return Text.find(Part) != std::string::npos; }
} // namespace

class ProxyExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyExchangeTest);
  CPPUNIT_TEST(answers);
  CPPUNIT_TEST(strayBytesReachNobody);
  CPPUNIT_TEST(callerLeaves);
  CPPUNIT_TEST(deadline);
  CPPUNIT_TEST(uploadWaitsForTarget);
  CPPUNIT_TEST(downloadWaitsForCaller);
  CPPUNIT_TEST(chunkedUploads);
  CPPUNIT_TEST(forwarding);
  CPPUNIT_TEST(unreachableTarget);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a truncated answer that looks whole and against wrong framing of answers.
  void answers() {
    struct Case {
      const char *Name;
      const char *Method;
      std::string Answer;
      bool Reset;
      /// Start of what the caller gets; empty if the connection may close without an answer.
      const char *Start;
      std::string Body;
      /// True if the caller can tell that the answer is complete.
      bool Whole;
    };
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Long = pattern(100'000);
    const std::string Chunks = Ok + "Transfer-Encoding: chunked\r\n\r\n";
    const Case Table[] = {
        {"short", "GET", Complete, false, "HTTP/1.1 200", "ok", true},
        {"empty", "GET", Ok + "Content-Length: 0\r\n\r\n", false, "HTTP/1.1 200", "", true},
        {"long", "GET", Ok + "Content-Length: 100000\r\n\r\n" + Long, false, "HTTP/1.1 200", Long,
         true},
        {"chunks", "GET", Chunks + "2\r\nok\r\n0\r\n\r\n", false, "HTTP/1.1 200",
         "2\r\nok\r\n0\r\n\r\n", true},
        {"until close", "GET", Ok + "\r\nok", false, "HTTP/1.1 200", "ok", true},
        {"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", false, "HTTP/1.1 204", "", true},
        {"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nETag: x\r\nContent-Length: 9\r\n\r\n",
         false, "HTTP/1.1 304", "", true},
        {"HEAD", "HEAD", Ok + "Content-Length: 9\r\n\r\n", false, "HTTP/1.1 200", "", true},
        {"HEAD chunked", "HEAD", Chunks, false, "HTTP/1.1 200", "", true},
        {"own status", "GET", "HTTP/1.1 429 Slow\r\nContent-Length: 2\r\n\r\nok", false,
         "HTTP/1.1 429", "ok", true},
        {"short body", "GET", Ok + "Content-Length: 9\r\n\r\nok", false, "HTTP/1.1 502", "", true},
        {"short long body", "GET", Ok + "Content-Length: 100001\r\n\r\n" + Long, false, "", "",
         false},
        {"no last chunk", "GET", Chunks + "2\r\nok\r\n", false, "", "", false},
        {"bad chunk", "GET", Chunks + "2\r\nok\r\nzz\r\n\r\n", false, "", "", false},
        {"reset while until close", "GET", Ok + "\r\nok", true, "", "", false},
        {"closed early", "GET", "", false, "HTTP/1.1 502", "", true},
        {"two lengths", "GET", Ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", false,
         "HTTP/1.1 502", "", true},
    };
    for (const Case &Each : Table) {
      ScriptedServer Target([&](RawConnection &Connection, int) {
        Connection.send(Each.Answer);
        runPending();
        Each.Reset ? Connection.reset() : Connection.close();
      });
      ProxyBench Bench(Target.Port);
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send(std::string(Each.Method) +
                   " /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Caller->Closed; }));
      const std::string Got = Caller->Received;
      const std::string Message = std::string(Each.Name) + ": " + Got.substr(0, 300);
      CPPUNIT_ASSERT_MESSAGE(Message, Got.starts_with(Each.Start));
      if (Each.Whole && !has(Each.Start, "502")) {
        CPPUNIT_ASSERT_MESSAGE(Message, !Caller->Reset && bodyOf(Got) == Each.Body);
      }
      if (!Each.Whole) {
        const bool Marked = !has(Got, "\r\n\r\n")                ? true
                            : has(Got, "Content-Length: 100001") ? bodyOf(Got).size() < 100'001
                            : has(Got, "chunked")                ? !Got.ends_with("0\r\n\r\n")
                                                                 : Caller->Reset;
        CPPUNIT_ASSERT_MESSAGE(Message, Marked);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t(1), Target.Requests.size());
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Bench.Exchanges.empty(); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t(1), Bench.Reports.size());
      const bool Succeeded = Bench.Reports.front().Outcome == AttemptOutcome::Succeeded;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Whole && !has(Each.Start, "502"), Succeeded);
    }
  }

  /// Guards against an answer that goes to the caller of another request.
  void strayBytesReachNobody() {
    int Late = 0;
    ScriptedServer Target([&](RawConnection &Connection, int) {
      Connection.send(std::string(Complete) + (Late == 0 ? Complete : ""));
      runPending();
      // Arrives while the connection is idle.
      Connection.send(Late == 1 ? Complete : "");
    });
    for (Late = 0; Late < 2; ++Late) {
      ProxyBench Bench(Target.Port);
      const std::size_t Before = Target.Connections.size();
      for (std::size_t Round = 1; Round <= 3; ++Round) {
        const auto Caller = RawConnection::connect(Bench.Port);
        Caller->send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(runUntil([&] { return Caller->Closed; }));
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), bodyOf(Caller->Received));
        runPending();
        CPPUNIT_ASSERT_EQUAL(Before + Round, Target.Connections.size());
      }
    }
  }

  /// Guards against a slot that stays taken, and a target that goes on working, for a caller that
  /// left.
  void callerLeaves() {
    struct Case {
      const char *Name;
      bool Hold;
      const char *Answer;
    };
    const Case Table[] = {
        {"while queued", true, ""},
        {"before the answer", false, ""},
        {"within the answer", false,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok"},
        {"within a short answer", false, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
    };
    for (const Case &Each : Table) {
      ScriptedServer Target([&](RawConnection &Connection, int) { Connection.send(Each.Answer); });
      ProxyBench Bench(Target.Port);
      Bench.Hold = Each.Hold;
      auto Caller = RawConnection::connect(Bench.Port);
      Caller->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               return Each.Hold ? !Bench.Heads.empty() : !Target.Requests.empty();
                             }));
      runPending();
      Caller.reset();
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Bench.Exchanges.empty(); }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Hold ? 1 : 0, Bench.CallersGone);
      if (!Each.Hold) {
        CPPUNIT_ASSERT_MESSAGE(Each.Name,
                               runUntil([&] { return Target.Connections.front()->Closed; }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::size_t(1), Bench.Reports.size());
        CPPUNIT_ASSERT_MESSAGE(Each.Name,
                               Bench.Reports.front().Outcome == AttemptOutcome::Cancelled);
      }
    }
  }

  /// Guards against requests that outlive their deadline.
  void deadline() {
    for (const char *Answer :
         {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}) {
      ScriptedServer Target([&](RawConnection &Connection, int) { Connection.send(Answer); });
      ProxyBench Bench(Target.Port);
      Bench.Patience = std::chrono::milliseconds(30);
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Answer, runUntil([&] { return Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Answer,
                             Bench.Reports.at(0).Outcome == AttemptOutcome::DeadlineExceeded);
      CPPUNIT_ASSERT_MESSAGE(Caller->Received, has(Answer, "chunked")
                                                   ? !Caller->Received.ends_with("0\r\n\r\n")
                                                   : Caller->Received.starts_with("HTTP/1.1 504"));
      CPPUNIT_ASSERT_MESSAGE(Answer, runUntil([&] {
                               return !Target.Connections.empty() &&
                                      Target.Connections.front()->Closed;
                             }));
    }
  }

  /// Guards against an upload that fills memory while it waits, and against lost or mixed parts.
  void uploadWaitsForTarget() {
    const std::size_t Size = 48 * Megabyte;
    ScriptedServer Target([&](RawConnection &Connection, int) {
      Connection.OnData = [&Connection, Size] {
        if (Connection.Received.size() == Size) {
          Connection.send(Complete);
        }
      };
    });
    ProxyBench Bench(Target.Port, false, 64 * Megabyte);
    Bench.Hold = true;
    const auto Caller = RawConnection::connect(Bench.Port);
    Caller->send("PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(Size) +
                 "\r\n\r\n");
    const std::string Body = pattern(Size);
    std::size_t Offset = 0;
    const auto SendMore = [&] {
      const std::size_t Count =
          Offset < Size ? Caller->send(Body.substr(Offset, Megabyte)) : std::size_t(0);
      Offset += Count;
      return Count;
    };
    do {
      runPending();
    } while (SendMore() > 0);
    CPPUNIT_ASSERT_MESSAGE("bytes taken while queued: " + std::to_string(Offset),
                           Offset < 24 * Megabyte);
    CPPUNIT_ASSERT(!Bench.Heads.at(0).Replayable);
    Bench.start(1);
    CPPUNIT_ASSERT(runUntil([&] {
      SendMore();
      return Caller->Received.ends_with("ok");
    }));
    CPPUNIT_ASSERT(Target.Connections.front()->Received == Body);
  }

  /// Guards against an answer that fills memory because its caller reads slowly.
  void downloadWaitsForCaller() {
    const std::size_t Size = 48 * Megabyte;
    RawConnection *AtTarget = nullptr;
    ScriptedServer Target([&](RawConnection &Connection, int) {
      Connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Size) + "\r\n\r\n");
      AtTarget = &Connection;
    });
    ProxyBench Bench(Target.Port);
    const auto Caller = RawConnection::connect(Bench.Port);
    Caller->hold();
    Caller->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(runUntil([&] { return AtTarget != nullptr; }));
    const std::string Body = pattern(Size);
    std::size_t Offset = 0;
    const auto SendMore = [&] {
      const std::size_t Count =
          Offset < Size ? AtTarget->send(Body.substr(Offset, Megabyte)) : std::size_t(0);
      Offset += Count;
      return Count;
    };
    do {
      runPending();
    } while (SendMore() > 0);
    CPPUNIT_ASSERT_MESSAGE("bytes taken from the target: " + std::to_string(Offset),
                           Offset < 24 * Megabyte);
    Caller->release();
    CPPUNIT_ASSERT(runUntil([&] {
      SendMore();
      return Caller->Received.size() > Size && bodyOf(Caller->Received).size() == Size;
    }));
    CPPUNIT_ASSERT(bodyOf(Caller->Received) == Body);
  }

  /// Guards against a truncated upload that looks whole to the target.
  void chunkedUploads() {
    struct Case {
      const char *Name;
      std::string Body;
      bool Leaves;
      const char *Answer;
    };
    const Case Table[] = {
        {"whole", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false, "HTTP/1.1 200"},
        {"leaves within a chunk", "3\r\nabc\r\n9\r\nde", true, ""},
        {"leaves between chunks", "3\r\nabc\r\n", true, ""},
        {"too long", "3\r\nabc\r\n200000\r\n" + pattern(2 * Megabyte), false, "HTTP/1.1 413"},
    };
    for (const Case &Each : Table) {
      const bool Whole = has(Each.Name, "whole");
      ScriptedServer Target([&](RawConnection &Connection, int) {
        Connection.OnData = [&Connection] {
          if (Connection.Received.ends_with("0\r\n\r\n")) {
            Connection.send(Complete);
          }
        };
        Connection.OnData();
      });
      ProxyBench Bench(Target.Port);
      auto Caller = RawConnection::connect(Bench.Port);
      Caller->send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      std::size_t Offset = 0;
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               Offset += Caller->send(Each.Body.substr(Offset, 65536));
                               return Offset == Each.Body.size() || !Caller->Received.empty();
                             }));
      runPending();
      if (Each.Leaves) {
        Caller->close();
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Bench.Exchanges.empty(); }));
      } else {
        CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return !Caller->Received.empty(); }));
        CPPUNIT_ASSERT_MESSAGE(Each.Name + Caller->Received,
                               Caller->Received.starts_with(Each.Answer));
      }
      runPending();
      const std::string AtTarget =
          Target.Connections.empty() ? "" : Target.Connections.front()->Received;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Whole, AtTarget.ends_with("0\r\n\r\n"));
    }
  }

  /// Guards against marks of a caller that reach another entry, refusals that lose their meaning on
  /// the way, and a target that speaks in the name of an entry.
  void forwarding() {
    for (const bool Forward : {true, false}) {
      ScriptedServer Target([](RawConnection &Connection, int) {
        Connection.send("HTTP/1.1 503 Busy\r\nAnvilsaddle-Outcome: not-run\r\n"
                        "Anvilsaddle-Entries: 10.0.0.9:1\r\nContent-Length: 2\r\n\r\nok");
      });
      ProxyBench Bench(Target.Port);
      if (Forward) {
        Bench.Forward.emplace();
        Bench.Forward->From = VmName("entry-1");
        Bench.Forward->Customer = CustomerName("t.c");
      }
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send("GET /x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer t.c.secret\r\n"
                   "Connection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\n"
                   "Anvilsaddle-Forward: entry-9 t.other 1 1\r\n\r\n");
      CPPUNIT_ASSERT(runUntil([&] { return Caller->Closed; }));
      const std::string Head = Target.Requests.at(0);
      CPPUNIT_ASSERT_MESSAGE(Head, !has(Head, "secret") && !has(Head, "entry-9") &&
                                       !has(Head, "X-Hop") && has(Head, "X-Kept: 1"));
      CPPUNIT_ASSERT_EQUAL(Forward, has(Head, "Anvilsaddle-Forward: entry-1 t.c 0 0\r\n"));
      CPPUNIT_ASSERT_MESSAGE(Caller->Received, Caller->Received.starts_with("HTTP/1.1 503"));
      CPPUNIT_ASSERT_EQUAL(Forward, has(Caller->Received, "Anvilsaddle-Outcome: not-run"));
      CPPUNIT_ASSERT_EQUAL(Forward, has(Caller->Received, "Anvilsaddle-Entries: 10.0.0.9:1"));
      CPPUNIT_ASSERT_EQUAL(Forward, Bench.Reports.at(0).PeerOutcome == RunOutcome::NotRun);
    }
  }

  /// Guards against "unknown" for a request that no target received.
  void unreachableTarget() {
    const std::uint16_t Unused = ScriptedServer([](RawConnection &, int) {}).Port;
    for (const char *Body : {"abc", ""}) {
      ProxyBench Bench(Unused);
      const std::string Long = pattern(100'000);
      const std::string Sent = *Body ? Body : Long;
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(Sent.size()) +
                   "\r\n\r\n" + Sent);
      CPPUNIT_ASSERT(runUntil([&] { return has(Caller->Received, "\r\n\r\n"); }));
      CPPUNIT_ASSERT_MESSAGE(Caller->Received, Caller->Received.starts_with("HTTP/1.1 502") &&
                                                   has(Caller->Received, "not-run"));
      CPPUNIT_ASSERT(!Bench.Reports.at(0).Sent);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyExchangeTest);
