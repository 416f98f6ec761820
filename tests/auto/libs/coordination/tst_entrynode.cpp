#include "FleetFixture.h"
#include "Property.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// Time after a start within which a fleet must own and lease all targets: 2 s for settings,
/// heartbeats, a lessor's wait of one lease plus the longest deadline, and a renewal interval.
constexpr Duration SettleTime = 5s;

} // namespace

class EntryNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryNodeTest);
  CPPUNIT_TEST(servesAtEveryEntry);
  CPPUNIT_TEST(keyRunsOnce);
  CPPUNIT_TEST(keyOfUnreachableIssuer);
  CPPUNIT_TEST(plannedStopHandsOver);
  CPPUNIT_TEST(takenOutDomainGetsNoWork);
  CPPUNIT_TEST(departingTargetGetsNoWork);
  CPPUNIT_TEST(settingsReachEveryEntry);
  CPPUNIT_TEST(homeRegionIsCheckedAgainBeforeSending);
  CPPUNIT_TEST(promisesHoldUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an entry that can't serve because it does not own the targets.
  void servesAtEveryEntry() {
    FleetFixture Fleet(3, 4, 1);
    Fleet.advance(SettleTime);
    for (std::size_t Entry = 0; Entry < 3; ++Entry) {
      const std::size_t Request = Fleet.send(Entry, "/read");
      Fleet.advance(1s);
      CPPUNIT_ASSERT(Fleet.answers()[Request]);
      CPPUNIT_ASSERT_EQUAL(200, Fleet.answers()[Request]->Status);
    }
  }

  /// Guards against a repeat that runs a second time at the same or another entry, also after a
  /// restart of the issuer.
  void keyRunsOnce() {
    struct Case {
      const char *Name;
      std::size_t RepeatAt;
      bool RestartIssuer;
      int Expected;
    };
    const Case Table[] = {{"same entry", 0, false, 409},
                          {"other entry", 1, false, 409},
                          {"restarted issuer", 0, true, 409},
                          {"other entry, restarted issuer", 2, true, 409}};
    for (const Case &Each : Table) {
      FleetFixture Fleet(3, 4, 2);
      Fleet.advance(SettleTime);
      const std::string Key = Fleet.ticket(0) + ".a";
      const std::size_t First = Fleet.send(0, "/write", Key);
      Fleet.advance(1s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, 200, Fleet.answers()[First]->Status);
      if (Each.RestartIssuer) {
        Fleet.restart(0);
        Fleet.advance(SettleTime);
      }
      const std::size_t Repeat = Fleet.send(Each.RepeatAt, "/write", Key);
      Fleet.advance(1s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Fleet.answers()[Repeat]->Status);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Fleet.answers()[Repeat]->Outcome == RunOutcome::Unknown);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, 1, Fleet.runsOfKey(Key));
    }
  }

  /// Guards against an entry that runs a key of an issuer that it can't reach, or says "not run"
  /// for it.
  void keyOfUnreachableIssuer() {
    struct Case {
      const char *Name;
      Duration AfterCut;
    };
    // Shortly after the cut the issuer still counts as alive, and the forward fails.
    const Case Table[] = {{"at once", 1ms}, {"suspect", 2s}, {"gone", 10s}};
    for (const Case &Each : Table) {
      FleetFixture Fleet(3, 4, 8);
      Fleet.advance(SettleTime);
      const std::string Key = Fleet.ticket(0) + ".a";
      Fleet.setCut(0, true);
      Fleet.advance(Each.AfterCut);
      const std::size_t Request = Fleet.send(1, "/write", Key);
      Fleet.advance(1s);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Fleet.answers()[Request].has_value());
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Fleet.answers()[Request]->Outcome == RunOutcome::Unknown);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, 0, Fleet.runsOfKey(Key));
    }
  }

  /// Guards against an owner that exits before its lessors know, so that its targets wait out a
  /// lease.
  void plannedStopHandsOver() {
    FleetFixture Fleet(4, 6, 9);
    Fleet.advance(SettleTime);
    std::size_t Owner = 0;
    while (Fleet.node(Owner)->targetStatus().empty()) {
      ++Owner;
    }
    Fleet.node(Owner)->beginStop(Fleet.now());
    // Releases are repeated each 300 ms until lessors must have them.
    for (int Step = 0; Step < 400 && !Fleet.node(Owner)->isDrained(); ++Step) {
      Fleet.advance(5ms);
    }
    CPPUNIT_ASSERT(Fleet.node(Owner)->isDrained());
    Fleet.kill(Owner);
    const std::size_t Request = Fleet.send((Owner + 1) % 4, "/read");
    Fleet.advance(FleetFixture::MaxDeadline);
    CPPUNIT_ASSERT(Fleet.answers()[Request].has_value());
    CPPUNIT_ASSERT_EQUAL(200, Fleet.answers()[Request]->Status);
  }

  /// Guards against new work on a domain 3 s after operators took it out, and against a service
  /// that stops with it.
  void takenOutDomainGetsNoWork() {
    FleetFixture Fleet(4, 6, 3);
    Fleet.advance(SettleTime);
    Fleet.changePlatform(
        [](PlatformSettings &Platform) { Platform.FailureDomains.front().TakenOut = true; });
    int Answered = 0;
    for (int Round = 0; Round < 600; ++Round) {
      const std::size_t Request = Fleet.send(static_cast<std::size_t>(Round % 4), "/read");
      Fleet.advance(10ms);
      Answered += Fleet.answers()[Request] && Fleet.answers()[Request]->Status == 200;
    }
    Fleet.advance(1s);
    const auto Served = std::count_if(Fleet.answers().begin(), Fleet.answers().end(),
                                      [](const auto &Each) { return Each && Each->Status == 200; });
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.forbiddenStarts());
    // At most 1% refused while a domain leaves.
    CPPUNIT_ASSERT(Served >= 594);
  }

  /// Guards against queued or retried work on a target that is listed as departing.
  void departingTargetGetsNoWork() {
    FleetFixture Fleet(2, 2, 4);
    Fleet.advance(SettleTime);
    Fleet.setDeparting(0);
    for (int Round = 0; Round < 500; ++Round) {
      Fleet.send(static_cast<std::size_t>(Round % 2), "/read");
      Fleet.advance(10ms);
    }
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.forbiddenStarts());
  }

  /// Guards against entries that miss a change, and against a fleet whose every entry watches the
  /// service.
  void settingsReachEveryEntry() {
    FleetFixture Fleet(6, 2, 5);
    Fleet.advance(SettleTime);
    const std::uint64_t ReadsBefore = Fleet.configurationReads();
    Fleet.changeTeam([](TeamSettings &Team) { Team.Routes.front().PathPrefix = "/other"; });
    Fleet.advance(3s);
    for (std::size_t Entry = 0; Entry < 6; ++Entry) {
      CPPUNIT_ASSERT_EQUAL(Fleet.node(0)->settings().digest(),
                           Fleet.node(Entry)->settings().digest());
      CPPUNIT_ASSERT(Fleet.node(Entry)->settings().snapshot().findRoute(
          CustomerName("team.customer"), "GET", "/other"));
    }
    CPPUNIT_ASSERT(Fleet.configurationReads() - ReadsBefore <= 2);
  }

  /// Guards against a queued request that is sent although its customer's home regions changed.
  void homeRegionIsCheckedAgainBeforeSending() {
    FleetFixture Fleet(1, 1, 6);
    Fleet.advance(SettleTime);
    Fleet.setServiceTime(200ms);
    constexpr int RequestCount = 8;
    std::vector<std::size_t> Requests;
    Requests.reserve(RequestCount);
    for (int Count = 0; Count < RequestCount; ++Count) {
      Requests.push_back(Fleet.send(0, "/read"));
    }
    Fleet.changeTeam(
        [](TeamSettings &Team) { Team.Customers.front().HomeRegions = {RegionName("south")}; });
    Fleet.advance(5ms);
    int RunBefore = 0;
    for (const std::size_t Request : Requests) {
      RunBefore += Fleet.runsOfRequest(Request);
    }
    Fleet.advance(1s);
    int RunAfter = 0;
    for (const std::size_t Request : Requests) {
      RunAfter += Fleet.runsOfRequest(Request);
    }
    CPPUNIT_ASSERT_EQUAL(RunBefore, RunAfter);
  }

  /// Guards against every promise that a mix of pauses, cuts, kills, restarts and repeats could
  /// break.
  void promisesHoldUnderRandomFaults() {
    checkProperty("promises hold under random faults", [] {
      const auto Seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
      FleetFixture Fleet(4, 3, Seed);
      std::mt19937_64 Engine(Seed);
      const auto Pick = [&Engine](std::size_t Count) {
        return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Engine);
      };
      Fleet.advance(SettleTime);
      std::vector<std::string> Keys;
      std::map<std::size_t, std::string> KeyOf;
      for (int Step = 0; Step < 150; ++Step) {
        const std::size_t Entry = Pick(4);
        switch (Pick(12)) {
        case 0:
          Fleet.setPaused(Entry, true);
          break;
        case 1:
          Fleet.setPaused(Entry, false);
          break;
        case 2:
          Fleet.setCut(Entry, true);
          break;
        case 3:
          Fleet.setCut(Entry, false);
          break;
        case 4:
          Fleet.restart(Entry);
          break;
        case 5:
          Fleet.setServiceTime(Pick(2) == 0 ? 40ms : 700ms);
          break;
        case 6:
        case 7:
          if (const std::string Ticket = Fleet.ticket(Entry); !Ticket.empty()) {
            Keys.push_back(Ticket + "." + std::to_string(Step));
          }
          [[fallthrough]];
        case 8:
        case 9:
          if (!Keys.empty()) {
            const std::string &Key = Keys[Pick(Keys.size())];
            KeyOf[Fleet.send(Entry, "/write", Key)] = Key;
          }
          break;
        default:
          for (int Count = 0; Count < 5; ++Count) {
            Fleet.send(Entry, "/read");
          }
        }
        Fleet.advance(std::chrono::milliseconds(Pick(2) == 0 ? 5 : 300));
        RC_ASSERT(Fleet.mostInFlight() <= FleetFixture::Slots);
      }
      for (std::size_t Entry = 0; Entry < 4; ++Entry) {
        Fleet.setPaused(Entry, false);
        Fleet.setCut(Entry, false);
      }
      Fleet.advance(SettleTime);
      for (const std::string &Key : Keys) {
        RC_ASSERT(Fleet.runsOfKey(Key) <= 1);
      }
      for (std::size_t Request = 0; Request < Fleet.answers().size(); ++Request) {
        const auto &Answer = Fleet.answers()[Request];
        RC_ASSERT(Answer.has_value());
        if (Answer->Outcome == RunOutcome::NotRun) {
          RC_ASSERT(Fleet.runsOfRequest(Request) == 0);
        }
        if (Answer->Status == 200) {
          RC_ASSERT(Fleet.runsOfRequest(Request) >= 1);
        }
      }
      Fleet.setServiceTime(40ms);
      Fleet.advance(1s);
      const std::size_t Last = Fleet.send(0, "/read");
      Fleet.advance(1s);
      RC_ASSERT(Fleet.answers()[Last].has_value());
      RC_ASSERT(Fleet.answers()[Last]->Status == 200);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryNodeTest);
