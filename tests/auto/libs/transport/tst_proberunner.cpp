#include "FakeProtocol.h"
#include "Loopback.h"
#include "Property.h"
#include "transport/ProbeRunner.h"
#include "transport/SystemClock.h"
#include "transport/ConnectionPool.h"

#include <optional>
#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// A runner whose last result is kept.
struct Bench {
  Bench()
      : Connections(Time),
        Runner(Connections, Protocol,
               {[this](const TargetName &, const ProbeReport &Report) {
                  ++this->Ends;
                  this->Report = Report;
                },
                [this](const TargetName &, ProbeFailure Failure, const std::string &) {
                  ++this->Ends;
                  this->Failure = Failure;
                }}) {}

  bool probe(std::uint16_t Port) {
    this->Report.reset();
    this->Failure.reset();
    const int Before = this->Ends;
    this->Runner.start({TargetName("me"), {"127.0.0.1", Port}, "/health"});
    return runUntil([&] { return this->Ends > Before; });
  }

  SystemClock Time;
  FakeProtocol Protocol;
  ConnectionPool Connections;
  ProbeRunner Runner;
  int Ends = 0;
  std::optional<ProbeReport> Report;
  std::optional<ProbeFailure> Failure;
};

std::string answer(const std::string &Fields, const char *Status = "200 OK") {
  return std::string("HTTP/1.1 ") + Status + "\r\n" + Fields + "Content-Length: 0\r\n\r\n";
}

} // namespace

class ProbeRunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbeRunnerTest);
  CPPUNIT_TEST(reports);
  CPPUNIT_TEST(silentConnections);
  CPPUNIT_TEST(unreachable);
  CPPUNIT_TEST(restarted);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a report that is not the target's own.
  void reports() {
    struct Case {
      const char *Name;
      std::string Answer;
      std::optional<ProbeReport> Report;
      std::optional<ProbeFailure> Failure;
    };
    const Case Table[] = {
        {"load",
         answer("Instance: me\r\nLoad: 2\r\n"),
         ProbeReport{true, {2, 0, 3, 1}, true, 0s},
         {}},
        {"cold",
         answer("Load: 0\r\nCold: 1500\r\n"),
         ProbeReport{true, {0, 0, 3, 1}, true, 1500ms},
         {}},
        {"no load told", answer(""), ProbeReport{false, {}, true, 0s}, {}},
        {"not well",
         answer("Load: 1\r\n", "503 Service Unavailable"),
         ProbeReport{true, {1, 0, 3, 1}, false, 0s},
         {}},
        {"another target", answer("Instance: you\r\nLoad: 0\r\n"), {}, ProbeFailure::WrongTarget},
        {"garbage", "garbage\r\n\r\n", {}, ProbeFailure::Unreachable},
        {"late answer of a request first",
         answer("Signed: x\r\nId: 7\r\n") + answer("Instance: me\r\nLoad: 1\r\n"),
         ProbeReport{true, {1, 0, 3, 1}, true, 0s},
         {}},
    };
    for (const Case &Each : Table) {
      Bench All;
      ScriptedServer Target([&Each](RawConnection &Caller, int) { Caller.send(Each.Answer); });
      CPPUNIT_ASSERT_MESSAGE(Each.Name, All.probe(Target.Port));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, All.Report == Each.Report && All.Failure == Each.Failure);
    }
  }

  /// Guards against a target that is given up because a connection went silent while new ones work.
  void silentConnections() {
    Bench All;
    bool Silent = false;
    ScriptedServer Target([&Silent](RawConnection &Caller, int Number) {
      if (!Silent || Number == 1) {
        Caller.send(answer("Instance: me\r\nLoad: 0\r\n"));
      }
    });
    CPPUNIT_ASSERT(All.probe(Target.Port) && All.Report);
    Silent = true;
    CPPUNIT_ASSERT(All.probe(Target.Port));
    CPPUNIT_ASSERT(All.Report && !All.Failure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Target.Connections.size());
  }

  void unreachable() {
    Bench All;
    std::uint16_t Port = 0;
    {
      const ScriptedServer Target([](RawConnection &, int) {});
      Port = Target.Port;
    }
    CPPUNIT_ASSERT(All.probe(Port));
    CPPUNIT_ASSERT(All.Failure == ProbeFailure::Unreachable);
  }

  /// Guards against two reports for one question.
  void restarted() {
    Bench All;
    ScriptedServer Target([](RawConnection &Caller, int) { Caller.send(answer("Load: 0\r\n")); });
    All.Runner.start({TargetName("me"), {"127.0.0.1", Target.Port}, "/health"});
    All.Runner.start({TargetName("me"), {"127.0.0.1", Target.Port}, "/health"});
    CPPUNIT_ASSERT(runUntil([&] { return All.Ends > 0; }));
    runPending();
    CPPUNIT_ASSERT_EQUAL(1, All.Ends);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeRunnerTest);
