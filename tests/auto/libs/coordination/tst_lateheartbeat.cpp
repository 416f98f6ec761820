#include "Property.h"
#include "coordination/membership/Membership.h"
#include "model/SeededRandom.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};
constexpr Duration TickInterval = 100ms;
/// The directory must not return an entry that died this long ago.
constexpr Duration DirectoryBound = 7s;

EntryRecord makeRecord(const std::string &Address, std::uint32_t Heartbeat) {
  return {Address, FailureDomainName("a1"), 1000, Heartbeat, EntryState::Ready};
}

Membership makeMembership(const std::string &Address, RandomSource &Random) {
  Topology FleetTopology;
  FleetTopology.RegionByDomain = {{FailureDomainName("a1"), RegionName("a")}};
  FleetTopology.OwnDomain = FailureDomainName("a1");
  FleetTopology.OwnRegion = RegionName("a");
  return Membership(makeRecord(Address, 0), FleetTopology, {}, Random, Start);
}

bool lists(const Membership &Members, const std::string &Address) {
  const std::vector<EntryRecord> Live = Members.liveEntries();
  return std::any_of(Live.begin(), Live.end(),
                     [&](const EntryRecord &Each) { return Each.Address == Address; });
}

} // namespace

class LateHeartbeatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateHeartbeatTest);
  CPPUNIT_TEST(deadEntryIsNotRevived);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an entry that goes on returning a dead one, because another entry that was
  /// paused or cut off passes on the last heartbeat of the dead one late.
  void deadEntryIsNotRevived() {
    struct Case {
      const char *Name;
      Duration Silence;
      bool IsPaused;
    };
    const Case Table[] = {
        {"passed on at once", 400ms, false},
        {"cut off for less than the failure timeout", 3500ms, false},
        {"paused", 2500ms, true},
        {"paused for long", 5s, true},
    };
    for (const Case &Each : Table) {
      SeededRandom Random(20261204);
      Membership Observer = makeMembership("10.0.0.1", Random);
      Membership Relay = makeMembership("10.0.0.2", Random);
      // The last heartbeat of the dead entry reaches only the relay.
      Observer.onMessage("10.0.0.3", {{makeRecord("10.0.0.3", 7)}}, Start);
      Relay.onMessage("10.0.0.3", {{makeRecord("10.0.0.3", 8)}}, Start);
      std::uint32_t ObserverHeartbeat = 1;
      Relay.onMessage("10.0.0.1", {{makeRecord("10.0.0.1", ObserverHeartbeat)}}, Start);
      for (TimePoint Now = Start; Now < Start + DirectoryBound + 500ms; Now += TickInterval) {
        const bool IsSilent = Now < Start + Each.Silence;
        std::vector<OutgoingGossip> Messages;
        if (!IsSilent || !Each.IsPaused) {
          // The observer is alive all the time.
          Relay.onMessage("10.0.0.1", {{makeRecord("10.0.0.1", ++ObserverHeartbeat)}}, Now);
          Messages = Relay.onTick(Now);
        }
        for (const OutgoingGossip &Message : Messages) {
          if (!IsSilent && Message.Receiver == "10.0.0.1") {
            Observer.onMessage("10.0.0.2", Message.Message, Now);
          }
        }
        Observer.onTick(Now);
        CPPUNIT_ASSERT_MESSAGE(Each.Name,
                               Now < Start + DirectoryBound || !lists(Observer, "10.0.0.3"));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateHeartbeatTest);
