#include "Loopback.h"
#include "Property.h"
#include "target/StandinTarget.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace anvilsaddle;

class StandinTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinTargetTest);
  CPPUNIT_TEST(concurrentRequests);
  CPPUNIT_TEST(faults);
  CPPUNIT_TEST(coldStartEnds);
  CPPUNIT_TEST(callerLeaves);
  CPPUNIT_TEST(control);
  CPPUNIT_TEST_SUITE_END();

  std::uint16_t Port = 0;

  std::unique_ptr<StandinTarget> start(const StandinBehaviour &Behaviour) {
    for (int Try = 0; Try < 20; ++Try) {
      StandinTargetOptions Options;
      Options.Port = this->Port = ScriptedServer([](RawConnection &, int) {}).Port;
      Options.Behaviour = Behaviour;
      auto Target = std::make_unique<StandinTarget>(Options);
      if (Target->start().empty()) {
        return Target;
      }
    }
    return nullptr;
  }

  std::unique_ptr<RawConnection> get(const std::string &Path, const std::string &Body = "") const {
    auto Caller = RawConnection::connect(this->Port);
    Caller->send((Body.empty() ? "GET " : "POST ") + Path +
                 " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nRequest-Id: r\r\n"
                 "Idempotency-Key: k\r\nContent-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n" + Body);
    return Caller;
  }

public:
  /// Guards against a stand-in that hides overload: experiments would then measure nothing.
  void concurrentRequests() {
    struct Case {
      const char *Name;
      std::uint32_t ColdAnswers;
      bool Shed;
      bool Draining;
      int Ok, Failed, Shedded;
      std::uint32_t MostRunning;
    };
    const Case Table[] = {
        {"over the slots", 0, true, false, 2, 0, 3, 2},
        {"over the slots, queueing", 0, false, false, 5, 0, 0, 2},
        {"draining", 0, true, true, 0, 0, 5, 0},
        {"cold: each second request fails both", 9, true, false, 1, 4, 0, 1},
    };
    for (const Case &Each : Table) {
      StandinBehaviour Behaviour;
      Behaviour.Slots = 2;
      Behaviour.Exponential = false;
      Behaviour.ServiceMilliseconds = 200;
      Behaviour.ColdAnswers = Each.ColdAnswers;
      Behaviour.ShedOverSlots = Each.Shed;
      Behaviour.Draining = Each.Draining;
      const auto Target = this->start(Behaviour);
      std::vector<std::unique_ptr<RawConnection>> Callers;
      constexpr int CallerCount = 5;
      Callers.reserve(CallerCount);
      for (int Index = 0; Index < CallerCount; ++Index) {
        Callers.push_back(this->get("/x"));
      }
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               return std::ranges::all_of(
                                   Callers, [](const auto &Caller) { return Caller->Closed; });
                             }));
      const auto Count = [&](const char *Start) {
        return static_cast<int>(std::ranges::count_if(
            Callers, [Start](const auto &Caller) { return Caller->Received.starts_with(Start); }));
      };
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Ok, Count("HTTP/1.1 200"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Failed, Count("HTTP/1.1 500"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Shedded, Count("HTTP/1.1 503"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.MostRunning, Target->counts().MostRunning);
    }
  }

  /// Guards against faults that a caller cannot see.
  void faults() {
    struct Case {
      StandinFault Fault;
      bool Chunked;
      const char *Start;
      bool Reset;
    };
    const Case Table[] = {
        {StandinFault::None, false, "HTTP/1.1 200", false},
        {StandinFault::None, true, "HTTP/1.1 200", false},
        {StandinFault::EarlyClose, false, "", false},
        {StandinFault::KillMidAnswer, false, "", true},
        {StandinFault::ShortBody, false, "HTTP/1.1 200", false},
        {StandinFault::ShortBody, true, "HTTP/1.1 200", false},
        {StandinFault::FailFast, false, "HTTP/1.1 500", false},
    };
    for (const Case &Each : Table) {
      StandinBehaviour Behaviour;
      Behaviour.ServiceMilliseconds = 0;
      Behaviour.BodyBytes = 300'000;
      Behaviour.Fault = Each.Fault;
      Behaviour.Chunked = Each.Chunked;
      const auto Target = this->start(Behaviour);
      const auto Caller = this->get("/x");
      const std::string Name = std::to_string(static_cast<int>(Each.Fault));
      CPPUNIT_ASSERT_MESSAGE(Name, runUntil([&] { return Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Name, Caller->Received.starts_with(Each.Start));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Each.Reset, Caller->Reset);
      const bool Whole = Each.Chunked ? Caller->Received.ends_with("0\r\n\r\n")
                                      : Caller->Received.size() > 300'000;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Each.Fault == StandinFault::None, Whole);
    }
  }

  /// Guards against a cold start that never ends.
  void coldStartEnds() {
    StandinBehaviour Behaviour;
    Behaviour.ServiceMilliseconds = 1;
    Behaviour.Exponential = false;
    Behaviour.ColdAnswers = 2;
    const auto Target = this->start(Behaviour);
    for (int Round = 0; Round < 2; ++Round) {
      const auto Caller = this->get("/x");
      CPPUNIT_ASSERT(runUntil([&] { return Caller->Closed; }));
    }
    const auto First = this->get("/x");
    const auto Second = this->get("/x");
    CPPUNIT_ASSERT(runUntil([&] { return First->Closed && Second->Closed; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Target->counts().Failed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Target->counts().RunsByKey.at("k"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Target->counts().RunsByRequest.at("r"));
  }

  /// Guards against work that goes on after its cancellation.
  void callerLeaves() {
    StandinBehaviour Behaviour;
    Behaviour.ServiceMilliseconds = 600'000;
    const auto Target = this->start(Behaviour);
    auto Caller = this->get("/x");
    CPPUNIT_ASSERT(runUntil([&] { return Target->running() == 1; }));
    Caller.reset();
    CPPUNIT_ASSERT(runUntil([&] { return Target->running() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Target->counts().Cancelled);
  }

  /// Guards against a mistyped control message that an experiment takes for accepted, and against
  /// health and load endpoints that cannot lie.
  void control() {
    struct Case {
      const char *Path;
      const char *Body;
      const char *Expected;
    };
    const Case Table[] = {
        {"/standin/control", "{\"fualt\": \"none\"}", "HTTP/1.1 400"},
        {"/standin/control", "{\"slots\": \"x\"}", "HTTP/1.1 400"},
        {"/standin/control", "x", "HTTP/1.1 400"},
        {"/standin/control", "{\"draining\": true, \"slots\": 7}", "HTTP/1.1 200"},
        {"/health", "", "HTTP/1.1 503"},
        {"/load", "", "{\"running\":0,\"slots\":7}"},
        {"/standin/control", "{\"health_status\": 200, \"reported_load\": 5}", "HTTP/1.1 200"},
        {"/health", "", "HTTP/1.1 200"},
        {"/load", "", "{\"running\":5,\"slots\":7}"},
        {"/x", "", "HTTP/1.1 503"},
    };
    const auto Target = this->start(StandinBehaviour());
    for (const Case &Each : Table) {
      const auto Caller = this->get(Each.Path, Each.Body);
      CPPUNIT_ASSERT_MESSAGE(Each.Body, runUntil([&] { return Caller->Closed; }));
      CPPUNIT_ASSERT_MESSAGE(Caller->Received,
                             Caller->Received.find(Each.Expected) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Target->counts().Measurements);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinTargetTest);
