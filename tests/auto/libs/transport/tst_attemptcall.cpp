#include "FakeProtocol.h"
#include "Loopback.h"
#include "Property.h"
#include "transport/AttemptCall.h"
#include "transport/SystemClock.h"
#include "transport/ConnectionPool.h"

#include <optional>
#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// Keeps the course of one attempt.
class Watcher final : public AttemptListener {
public:
  void onAttemptEnd(AttemptCall &Attempt, const AttemptResult &End, const std::string &) override {
    this->End = End;
    this->Body = Attempt.body();
  }
  void onAttemptStreaming(AttemptCall &Attempt) override {
    this->Large = true;
    this->Body = Attempt.body();
    Attempt.continueStreaming();
  }
  void onAttemptData(AttemptCall &Attempt, std::string Bytes, bool IsEnd) override {
    this->Body += Bytes;
    this->Complete = IsEnd;
    if (!IsEnd) {
      Attempt.continueStreaming();
    }
  }
  void onAttemptTruncated(AttemptCall &, const std::string &) override { this->Cut = true; }
  bool isOver() const { return this->End || this->Complete || this->Cut; }

  std::optional<AttemptResult> End;
  std::string Body;
  bool Large = false;
  bool Complete = false;
  bool Cut = false;
};

struct Run {
  Run(std::uint16_t Port, ConnectionPool &Connections, const std::string &Method = "GET",
      std::optional<ForwardOptions> Forward = std::nullopt) {
    SendAttempt Order;
    Order.Forward = Forward;
    Order.Target = TargetName("me");
    Order.Address = {"127.0.0.1", Port};
    Order.Idempotent = Method == "GET";
    this->Attempt = std::make_unique<AttemptCall>(Connections, this->Protocol, this->Seen, Order);
    const RequestHead Head{Method,
                           "/x?y=1",
                           false,
                           true,
                           {{"Host", "h"},
                            {"Id", "7"},
                            {"Left", "9"},
                            {"Connection", "Private"},
                            {"Private", "p"},
                            {"Expect", "100-continue"}}};
    this->Attempt->start(Head, "body", "7", 1500ms);
  }
  bool wait() {
    return runUntil([this] { return this->Seen.isOver(); });
  }

  FakeProtocol Protocol;
  Watcher Seen;
  std::unique_ptr<AttemptCall> Attempt;
};

std::string answer(const std::string &Status, const std::string &Fields, const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Fields + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace

class AttemptCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptCallTest);
  CPPUNIT_TEST(outcomes);
  CPPUNIT_TEST(answersOfEntries);
  CPPUNIT_TEST(requestIsPassedOnUnchanged);
  CPPUNIT_TEST(largeAnswers);
  CPPUNIT_TEST(notSent);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against answers of other requests, unsigned or half answers that reach a caller, and
  /// against a false "not run".
  void outcomes() {
    using enum AttemptOutcome;
    const std::string Mine = "Id: 7\r\nSigned: s\r\n";
    const std::string Good = answer("200 OK", Mine + "Load: 2\r\n", "good");
    struct Case {
      const char *Name;
      std::string Text;
      bool Closes;
      AttemptOutcome Expected;
      std::string Body;
    };
    const Case Table[] = {
        {"whole", Good, false, Succeeded, "good"},
        {"error of the work", answer("500 Error", Mine, "bad"), false, TargetError, "bad"},
        {"not found by the target", answer("404 Not Found", Mine, "no"), false, Succeeded, "no"},
        {"shed", answer("503 Busy", "Not-Run: 1\r\n", ""), false, NotExecuted, ""},
        {"shed without a word", answer("503 Busy", "", ""), false, Interrupted, ""},
        {"unsigned", answer("200 OK", "Id: 7\r\n", "x"), false, Interrupted, "x"},
        {"coded", answer("200 OK", Mine + "Content-Encoding: gzip\r\n", "x"), false, Interrupted,
         "x"},
        {"foreign first", answer("200 OK", "Id: 6\r\nSigned: s\r\n", "foreign") + Good, false,
         Succeeded, "good"},
        {"foreign without end", "HTTP/1.1 200 OK\r\nId: 6\r\nSigned: s\r\n\r\nforeign", true,
         Interrupted, ""},
        {"foreign only", answer("200 OK", "Id: 6\r\nSigned: s\r\n", "foreign"), true, Interrupted,
         ""},
        {"cut", Good.substr(0, Good.size() - 1), true, Interrupted, ""},
        {"until close", "HTTP/1.1 200 OK\r\n" + Mine + "\r\nall", true, Succeeded, "all"},
        {"garbage", "\x01\x02garbage\r\n\r\n", false, Interrupted, ""},
        {"nothing", "", true, Interrupted, ""},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      ConnectionPool Connections(Time);
      ScriptedServer Target([&Each](RawConnection &Caller, int) {
        Caller.send(Each.Text);
        if (Each.Closes) {
          Caller.close();
        }
      });
      Run One(Target.Port, Connections);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, One.wait());
      CPPUNIT_ASSERT_MESSAGE(Each.Name, One.Seen.End);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, std::string(toString(Each.Expected)),
                                   std::string(toString(One.Seen.End->Outcome)));
      if (Each.Expected == Succeeded || Each.Expected == TargetError) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Body, One.Seen.Body);
      }
    }
  }

  /// Guards against a "not run" that an entry did not say, and against lost terms of the request.
  void answersOfEntries() {
    using enum AttemptOutcome;
    const std::string Signed = "Id: 7\r\nSigned: s\r\n";
    struct Case {
      const char *Status;
      std::string Fields;
      AttemptOutcome Expected;
    };
    const Case Table[] = {
        {"200 OK", Signed, Succeeded},        {"500 Error", Signed, TargetError},
        {"503 Busy", Signed, TargetError},    {"503 Unavailable", "", NotExecuted},
        {"429 Too Many", "", NotExecuted},    {"404 Not Found", "", NotExecuted},
        {"502 Bad Gateway", "", Interrupted}, {"504 Timeout", "", Interrupted},
        {"200 OK", "", Interrupted},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      ConnectionPool Connections(Time);
      ScriptedServer Other([&Each](RawConnection &Caller, int) {
        Caller.send(answer(Each.Status, Each.Fields, "x"));
      });
      Run One(Other.Port, Connections, "GET", ForwardOptions{2, true, 15ms});
      CPPUNIT_ASSERT(One.wait());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Status, std::string(toString(Each.Expected)),
                                   std::string(toString(One.Seen.End->Outcome)));
      const std::string &Head = Other.Requests.front();
      CPPUNIT_ASSERT(Head.find("Anvilsaddle-Forwarded: 2 1 15\r\n") != std::string::npos);
      CPPUNIT_ASSERT(Head.find("Left: 1500\r\n") != std::string::npos);
      CPPUNIT_ASSERT(Head.find("Expect-Instance") == std::string::npos);
    }
  }

  /// Guards against a changed request, and against headers of the caller's connection at the
  /// target.
  void requestIsPassedOnUnchanged() {
    const SystemClock Time;
    ConnectionPool Connections(Time);
    ScriptedServer Target([](RawConnection &Caller, int) {
      Caller.send(answer("200 OK", "Id: 7\r\nSigned: s\r\n", ""));
    });
    Run One(Target.Port, Connections, "POST");
    CPPUNIT_ASSERT(One.wait());
    CPPUNIT_ASSERT_EQUAL(std::string("POST /x?y=1 HTTP/1.1\r\nHost: h\r\nId: 7\r\nLeft: 1500\r\n"
                                     "Expect-Instance: me\r\nContent-Length: 4"),
                         Target.Requests.front());
    CPPUNIT_ASSERT_EQUAL(std::string("body"), Target.Connections.front()->Received);
  }

  /// Guards against memory that a large answer fills, and a cut one that looks complete.
  void largeAnswers() {
    for (const bool IsCut : {false, true}) {
      const SystemClock Time;
      ConnectionPool Connections(Time);
      const std::string Body(600'000, 'x');
      std::string Text = answer("200 OK", "Id: 7\r\nSigned: s\r\n", Body);
      ScriptedServer Target([&](RawConnection &Caller, int) {
        const std::string All = IsCut ? Text.substr(0, Text.size() - 1) : Text;
        // The rest goes out as the other side reads.
        auto Left = std::make_shared<std::string>(All);
        struct Sending {
          RawConnection &To;
          std::shared_ptr<std::string> Left;
          bool IsCut;
        };
        g_timeout_add(
            1,
            [](gpointer Data) -> gboolean {
              auto &Self = *static_cast<Sending *>(Data);
              Self.Left->erase(0, Self.To.send(*Self.Left));
              if (!Self.Left->empty()) {
                return G_SOURCE_CONTINUE;
              }
              if (Self.IsCut) {
                Self.To.close();
              }
              delete &Self;
              return G_SOURCE_REMOVE;
            },
            new Sending{Caller, Left, IsCut});
      });
      Run One(Target.Port, Connections);
      CPPUNIT_ASSERT(One.wait());
      CPPUNIT_ASSERT(One.Seen.Large);
      CPPUNIT_ASSERT_EQUAL(IsCut, One.Seen.Cut);
      CPPUNIT_ASSERT_EQUAL(!IsCut, One.Seen.Complete);
      CPPUNIT_ASSERT_EQUAL(Body.size() - (IsCut ? 1 : 0), One.Seen.Body.size());
    }
  }

  void notSent() {
    const SystemClock Time;
    ConnectionPool Connections(Time);
    std::uint16_t Port = 0;
    {
      const ScriptedServer Target([](RawConnection &, int) {});
      Port = Target.Port;
    }
    Run One(Port, Connections);
    CPPUNIT_ASSERT(One.wait());
    CPPUNIT_ASSERT(One.Seen.End->Outcome == AttemptOutcome::NotSent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptCallTest);
