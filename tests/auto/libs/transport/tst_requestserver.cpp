#include "Property.h"
#include "ProxyBench.h"

#include <algorithm>
#include <string>

using namespace anvilsaddle;

namespace {
constexpr const char *Complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string repeat(const std::string &Text, int Count) {
  std::string Result;
  for (int Index = 0; Index < Count; ++Index) {
    Result += Text;
  }
  return Result;
}
} // namespace

class RequestServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestServerTest);
  CPPUNIT_TEST(malformedRequests);
  CPPUNIT_TEST(routedPathIsSentPath);
  CPPUNIT_TEST(refusedBeforeBody);
  CPPUNIT_TEST(slowSenders);
  CPPUNIT_TEST(expectContinue);
  CPPUNIT_TEST(drainClosesConnections);
  CPPUNIT_TEST(peersMustSeal);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests that two readers understand differently, and against input that
  /// exhausts memory: none of these may reach a target.
  void malformedRequests() {
    struct Case {
      const char *Name;
      std::string Request;
      /// Start of the answer; empty if the connection may close without one.
      const char *Answer;
    };
    const std::string Post = "POST /x HTTP/1.1\r\nHost: a\r\n";
    const Case Table[] = {
        {"no HTTP", "hello\r\n\r\n", ""},
        {"no version", "GET /x\r\n\r\n", ""},
        {"length and chunks",
         Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"two lengths", Post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         "HTTP/1.1 400"},
        {"a list of lengths", Post + "Content-Length: 3, 4\r\n\r\nabcd", "HTTP/1.1 400"},
        {"length is no number", Post + "Content-Length: x\r\n\r\nabc", "HTTP/1.1 400"},
        {"signed length", Post + "Content-Length: +3\r\n\r\nabc", "HTTP/1.1 400"},
        {"negative length", Post + "Content-Length: -3\r\n\r\nabc", "HTTP/1.1 400"},
        {"huge length", Post + "Content-Length: 99999999999999999999\r\n\r\nabc", "HTTP/1.1 4"},
        {"chunks with a key",
         Post + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 411"},
        {"unknown coding", Post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 501"},
        {"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", ""},
        {"large headers", Post + repeat("X-Filler: " + std::string(1000, 'x') + "\r\n", 300), ""},
        {"endless header", Post + "X-Filler: " + std::string(300'000, 'x'), ""},
    };
    for (const Case &Each : Table) {
      ScriptedServer Target([](RawConnection &Connection, int) { Connection.send(Complete); });
      ProxyBench Bench(Target.Port);
      const auto Caller = RawConnection::connect(Bench.Port);
      std::size_t Offset = 0;
      const bool Ended = runUntil([&] {
        Offset += Caller->send(Each.Request.substr(Offset, 65536));
        return Caller->Closed || Caller->Received.find("\r\n\r\n") != std::string::npos;
      });
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Ended);
      CPPUNIT_ASSERT_MESSAGE(std::string(Each.Name) + ": " + Caller->Received,
                             Caller->Received.starts_with(Each.Answer));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Caller->Received.find(" 200 ") == std::string::npos);
      runPending();
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Target.Requests.empty());
    }
  }

  /// Guards against a target that serves another path than the one that was routed.
  void routedPathIsSentPath() {
    struct Case {
      const char *Sent;
      /// Empty if the request is refused.
      const char *Routed;
      const char *AtTarget;
    };
    const Case Table[] = {
        {"/x", "/x", "/x"},
        {"/x?a=%20b&c", "/x", "/x?a=%20b&c"},
        {"/a%20b", "/a b", "/a%20b"},
        {"/a%2Fb", "/a/b", "/a/b"},
        {"/a%252Fb", "/a%2Fb", "/a%252Fb"},
        {"/a%0D%0AX:b", "/a\r\nX:b", "/a%0D%0AX:b"},
        {"/a/../x", "/x", "/x"},
        {"/a/%2e%2E/x", "/x", "/x"},
        {"/a/..%2Fx", "", ""},
        {"/a/.%2Fx", "", ""},
        {"/a%00b", "", ""},
        {"/a%zz", "", ""},
        {"http://other/x", "/x", "/x"},
        {"x", "", ""},
        {"*", "", ""},
    };
    for (const Case &Each : Table) {
      ScriptedServer Target([](RawConnection &Connection, int) { Connection.send(Complete); });
      ProxyBench Bench(Target.Port);
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send("GET " + std::string(Each.Sent) +
                   " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Each.Sent, runUntil([&] { return Caller->Closed; }));
      if (std::string(Each.Routed).empty()) {
        CPPUNIT_ASSERT_MESSAGE(Caller->Received, Caller->Received.starts_with("HTTP/1.1 4"));
        CPPUNIT_ASSERT_MESSAGE(Each.Sent, Target.Requests.empty());
        continue;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Sent, std::size_t(1), Target.Requests.size());
      CPPUNIT_ASSERT_EQUAL(std::string(Each.Routed), Bench.Heads.front().Path);
      const std::string Line = "GET " + std::string(Each.AtTarget) + " HTTP/1.1\r\n";
      CPPUNIT_ASSERT_MESSAGE(Target.Requests.front(), Target.Requests.front().starts_with(Line));
    }
  }

  /// Guards against a refusal that waits for a body, and against bodies over the limit.
  void refusedBeforeBody() {
    struct Case {
      const char *Name;
      const char *Head;
      const char *Answer;
    };
    const Case Table[] = {
        {"forbidden, short body",
         "POST /forbidden HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n", "HTTP/1.1 403"},
        {"forbidden, long body",
         "POST /forbidden HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n", "HTTP/1.1 403"},
        {"forbidden, chunks",
         "POST /forbidden HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
         "HTTP/1.1 403"},
        {"too long", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n",
         "HTTP/1.1 413"},
        {"forbidden with Expect",
         "POST /forbidden HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n",
         "HTTP/1.1 403"},
    };
    for (const Case &Each : Table) {
      ScriptedServer Target([](RawConnection &Connection, int) { Connection.send(Complete); });
      ProxyBench Bench(Target.Port);
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send(Each.Head);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Caller->Received, Caller->Received.starts_with(Each.Answer));
      CPPUNIT_ASSERT_MESSAGE(Caller->Received,
                             Caller->Received.find("Anvilsaddle-Outcome: not-run") !=
                                 std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Target.Requests.empty() && Bench.Exchanges.empty());
    }
  }

  /// Guards against connections that hold memory for ever.
  void slowSenders() {
    for (const char *Part : {"", "GET /x HT", "GET /x HTTP/1.1\r\nHost: a\r\n",
                             "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"}) {
      ScriptedServer Target([](RawConnection &Connection, int) { Connection.send(Complete); });
      ProxyBench Bench(Target.Port);
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send(Part);
      runPending();
      CPPUNIT_ASSERT_MESSAGE(Part, !Caller->Closed);
      Bench.Time.Value += std::chrono::seconds(61);
      CPPUNIT_ASSERT_MESSAGE(Part, runUntil([&] { return Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Part, Target.Requests.empty());
    }
  }

  /// Guards against a caller that waits for permission to send, and against 100 in the answer of a
  /// target.
  void expectContinue() {
    for (const char *Length : {"5", "100000"}) {
      ScriptedServer Target([](RawConnection &Connection, int) {
        Connection.OnData = [&Connection] {
          const std::size_t Wanted = Connection.Received.size() < 100 ? 5 : 100'000;
          if (Connection.Received.size() >= Wanted) {
            Connection.send(Complete);
          }
        };
        Connection.OnData();
      });
      ProxyBench Bench(Target.Port);
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: " +
                   std::string(Length) + "\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Length, runUntil([&] { return !Caller->Received.empty(); }));
      CPPUNIT_ASSERT_MESSAGE(Caller->Received, Caller->Received.starts_with("HTTP/1.1 100"));
      const std::string Body(static_cast<std::size_t>(std::stoi(Length)), 'x');
      std::size_t Offset = 0;
      CPPUNIT_ASSERT_MESSAGE(Length, runUntil([&] {
                               if (Offset < Body.size()) {
                                 Offset += Caller->send(Body.substr(Offset));
                               }
                               return Caller->Received.ends_with("ok");
                             }));
      CPPUNIT_ASSERT_MESSAGE(Target.Requests.front(),
                             Target.Requests.front().find("Expect") == std::string::npos);
    }
  }

  /// Guards against a stop that cuts off an answer or that leaves connections open behind it.
  void drainClosesConnections() {
    ScriptedServer Target([](RawConnection &Connection, int) { Connection.send(Complete); });
    ProxyBench Bench(Target.Port);
    Bench.Hold = true;
    const auto Waiting = RawConnection::connect(Bench.Port);
    Waiting->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto Idle = RawConnection::connect(Bench.Port);
    CPPUNIT_ASSERT(runUntil([&] { return Bench.Heads.size() == 1; }));
    Bench.Server->closeConnections();
    Bench.start(1);
    CPPUNIT_ASSERT(runUntil([&] { return Waiting->Closed; }));
    CPPUNIT_ASSERT_MESSAGE(Waiting->Received,
                           Waiting->Received.starts_with("HTTP/1.1 200") &&
                               Waiting->Received.ends_with("ok") &&
                               Waiting->Received.find("Connection: close") != std::string::npos);
    Bench.Hold = false;
    Idle->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(runUntil([&] { return Idle->Closed; }));
    CPPUNIT_ASSERT_MESSAGE(Idle->Received, Idle->Received.ends_with("ok"));
  }

  /// Guards against a caller that passes itself off as an entry, or reuses a mark for another
  /// request.
  void peersMustSeal() {
    ForwardMark Mark;
    Mark.From = VmName("entry-1");
    Mark.Customer = CustomerName("team.customer");
    Mark.KeyAdmitted = true;
    struct Case {
      const char *Name;
      std::function<void(RequestHead &, ForwardMark &)> Change;
      bool Valid;
    };
    const Case Table[] = {
        {"as sealed", [](RequestHead &, ForwardMark &) {}, true},
        {"other method", [](RequestHead &Head, ForwardMark &) { Head.Method = "POST"; }, false},
        {"other path", [](RequestHead &Head, ForwardMark &) { Head.Path = "/y"; }, false},
        {"other key", [](RequestHead &Head, ForwardMark &) { Head.IdempotencyKey = "k2"; }, false},
        {"other customer",
         [](RequestHead &, ForwardMark &Changed) { Changed.Customer = CustomerName("team.other"); },
         false},
        {"other sender",
         [](RequestHead &, ForwardMark &Changed) { Changed.From = VmName("entry-2"); }, false},
        {"other flag", [](RequestHead &, ForwardMark &Changed) { Changed.ToOwner = true; }, false},
    };
    for (const Case &Each : Table) {
      ScriptedServer Target([](RawConnection &Connection, int) { Connection.send(Complete); });
      ProxyBench Bench(Target.Port, true);
      RequestHead Head;
      Head.Method = "GET";
      Head.Path = "/x";
      Head.IdempotencyKey = "k1";
      const std::string Seal = Bench.Forwarding.formatSeal(Mark, Head);
      ForwardMark Changed = Mark;
      Each.Change(Head, Changed);
      const auto Caller = RawConnection::connect(Bench.Port);
      Caller->send(
          Head.Method + " " + Head.Path +
          " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nIdempotency-Key: " + Head.IdempotencyKey +
          "\r\nAnvilsaddle-Forward: " + ForwardHeaders::formatMark(Changed) +
          "\r\nAnvilsaddle-Forward-Seal: " + Seal + "\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Caller->Received, Caller->Received.starts_with(
                                                   Each.Valid ? "HTTP/1.1 200" : "HTTP/1.1 401"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Valid, Bench.Heads.size() == 1);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, !Each.Valid || Bench.Heads.front().Forwarded == Mark);
    }
    for (const char *Text : {"", "a", "a b 1", "a b 1 0 0", "a b 2 0", " b 1 0", "a  1 0"}) {
      ProxyBench Bench(0, true);
      CPPUNIT_ASSERT_MESSAGE(Text, !Bench.Forwarding.parse(Text, "", RequestHead()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestServerTest);
