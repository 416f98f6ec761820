#include "Property.h"
#include "coordination/membership/Membership.h"
#include "model/SeededRandom.h"

#include <algorithm>
#include <functional>
#include <memory>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};
/// Fraction of messages that the network drops.
constexpr double LossProbability = 0.05;

Topology makeTopology(const std::string &Domain) {
  Topology Result;
  for (const char *Region : {"a", "b", "c"}) {
    for (const char *Number : {"1", "2"}) {
      Result.RegionByDomain[FailureDomainName(std::string(Region) + Number)] = RegionName(Region);
    }
  }
  Result.OwnDomain = FailureDomainName(Domain);
  Result.OwnRegion = Result.regionOf(Result.OwnDomain);
  return Result;
}

/// Entries that gossip over a network with message loss.
class Fleet {
public:
  explicit Fleet(std::size_t Count) : Random(7) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      this->start(Index, 1000);
    }
  }

  std::string address(std::size_t Index) const { return "10.0.0." + std::to_string(Index + 1); }

  void start(std::size_t Index, std::int64_t UnixMilliseconds) {
    static const char *const Domains[] = {"a1", "b1", "c1", "a2", "b2", "c2"};
    const std::string Domain = Domains[Index % std::size(Domains)];
    EntryRecord Self{this->address(Index), FailureDomainName(Domain), UnixMilliseconds, 0,
                     EntryState::Ready};
    this->Entries[this->address(Index)] = std::make_unique<Membership>(
        Self, makeTopology(Domain), std::set<std::string>{this->address(0), this->address(1)},
        this->Random, this->Now);
  }

  void kill(std::size_t Index) { this->Entries.erase(this->address(Index)); }

  void run(Duration Time) {
    const TimePoint End = this->Now + Time;
    for (; this->Now < End; this->Now += 100ms) {
      for (const auto &[Address, Entry] : this->Entries) {
        if (!this->Paused.contains(Address)) {
          this->deliver(Address, Entry->onTick(this->Now));
        }
      }
      this->MinLiveCount = std::min(this->MinLiveCount, this->minLiveCount());
    }
  }

  void deliver(const std::string &From, const std::vector<OutgoingGossip> &Messages) {
    for (const OutgoingGossip &Each : Messages) {
      const auto To = this->Entries.find(Each.Receiver);
      const bool IsPartitioned = this->IsPartitioned && this->IsPartitioned(From, Each.Receiver);
      if (To != this->Entries.end() && !IsPartitioned && !this->Paused.contains(Each.Receiver) &&
          this->Random.uniform() >= LossProbability) {
        this->deliver(Each.Receiver, To->second->onMessage(From, Each.Message, this->Now));
      }
      this->MaxEntriesPerMessage =
          std::max(this->MaxEntriesPerMessage, Each.Message.Entries.size());
      this->RecordCount += Each.Message.Entries.size();
      ++this->MessageCount;
    }
  }

  /// True if each running entry knows exactly the running entries as live.
  bool hasConverged() const {
    for (const auto &[Address, Entry] : this->Entries) {
      if (!this->Paused.contains(Address) && Entry->liveEntries().size() != this->Entries.size()) {
        return false;
      }
    }
    return true;
  }

  /// Smallest number of live entries that any entry knows.
  std::size_t minLiveCount() const {
    std::size_t Result = this->Entries.size();
    for (const auto &[Address, Entry] : this->Entries) {
      Result = std::min(Result, Entry->liveEntries().size());
    }
    return Result;
  }

  bool isKnownToAny(std::size_t Index) const {
    const std::string Address = this->address(Index);
    return std::any_of(this->Entries.begin(), this->Entries.end(), [&](const auto &Each) {
      const auto Live = Each.second->liveEntries();
      return std::any_of(Live.begin(), Live.end(),
                         [&](const EntryRecord &Record) { return Record.Address == Address; });
    });
  }

  SeededRandom Random;
  TimePoint Now = Start;
  std::map<std::string, std::unique_ptr<Membership>> Entries;
  std::set<std::string> Paused;
  std::function<bool(const std::string &, const std::string &)> IsPartitioned;
  std::size_t MaxEntriesPerMessage = 0;
  std::size_t MessageCount = 0;
  std::size_t RecordCount = 0;
  std::size_t MinLiveCount = 0;
};

} // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(allEntriesAreDiscovered);
  CPPUNIT_TEST(deadEntriesAreRemoved);
  CPPUNIT_TEST(restartedEntriesRejoin);
  CPPUNIT_TEST(partitionsMerge);
  CPPUNIT_TEST(pausedEntriesKeepOthersAlive);
  CPPUNIT_TEST(leavingIsAnnounced);
  CPPUNIT_TEST(messageCountIsBounded);
  CPPUNIT_TEST(newEntriesLearnImmediately);
  CPPUNIT_TEST(liveEntriesAreNotRemoved);
  CPPUNIT_TEST(gossipStaysWithinByteBudget);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against entries that remain undiscovered although all share the same seeds.
  void allEntriesAreDiscovered() {
    for (const std::size_t Count : {1, 2, 18, 60, 138}) {
      Fleet TestFleet(Count);
      TestFleet.run(7s);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Count), TestFleet.hasConverged());
      TestFleet.run(30s);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Count), TestFleet.hasConverged());
    }
  }

  /// Guards against directory responses that contain an entry that died seven seconds ago.
  void deadEntriesAreRemoved() {
    for (const std::size_t Count : {3, 18, 138}) {
      Fleet TestFleet(Count);
      TestFleet.run(10s);
      TestFleet.kill(0);
      TestFleet.kill(Count - 1);
      TestFleet.run(6900ms);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Count),
                             !TestFleet.isKnownToAny(0) && !TestFleet.isKnownToAny(Count - 1));
      CPPUNIT_ASSERT(TestFleet.hasConverged());
    }
  }

  /// Guards against an entry that the others still consider dead after its restart, even if its
  /// clock was set back in the meantime.
  void restartedEntriesRejoin() {
    for (const std::int64_t Incarnation : {2000, 500}) {
      Fleet TestFleet(18);
      TestFleet.run(10s);
      TestFleet.kill(5);
      TestFleet.run(1s);
      TestFleet.start(5, Incarnation);
      TestFleet.run(8s);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Incarnation), TestFleet.hasConverged());
    }
  }

  /// Guards against partitions that do not merge after the network recovers. One of them contains
  /// the seeds.
  void partitionsMerge() {
    Fleet TestFleet(18);
    TestFleet.run(10s);
    const auto IsFirst = [&TestFleet](const std::string &Address) {
      return Address < TestFleet.address(5);
    };
    TestFleet.IsPartitioned = [&](const std::string &From, const std::string &To) {
      return IsFirst(From) != IsFirst(To);
    };
    TestFleet.run(60s);
    CPPUNIT_ASSERT(!TestFleet.hasConverged());
    TestFleet.IsPartitioned = nullptr;
    TestFleet.run(12s);
    CPPUNIT_ASSERT(TestFleet.hasConverged());
  }

  /// Guards against an entry that considers all others dead because its own process was paused.
  void pausedEntriesKeepOthersAlive() {
    Fleet TestFleet(18);
    TestFleet.run(10s);
    TestFleet.Paused = {TestFleet.address(4)};
    TestFleet.run(3s);
    TestFleet.Paused.clear();
    TestFleet.run(100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{18},
                         TestFleet.Entries.at(TestFleet.address(4))->liveEntries().size());
    TestFleet.run(5s);
    CPPUNIT_ASSERT(TestFleet.hasConverged());
  }

  /// Guards against callers that are directed to an entry after it announced its shutdown.
  void leavingIsAnnounced() {
    Fleet TestFleet(18);
    TestFleet.run(10s);
    Membership &Ending = *TestFleet.Entries.at(TestFleet.address(3));
    Ending.setState(EntryState::Leaving);
    TestFleet.deliver(TestFleet.address(3), Ending.makeAnnouncements());
    std::size_t InformedCount = 0;
    for (const auto &[Address, Entry] : TestFleet.Entries) {
      for (const EntryRecord &Each : Entry->liveEntries()) {
        InformedCount +=
            Each.Address == TestFleet.address(3) && Each.State == EntryState::Leaving ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(InformedCount >= 15);
  }

  /// Guards against gossip traffic that grows with the square of the fleet size.
  void messageCountIsBounded() {
    Fleet TestFleet(60);
    TestFleet.run(10s);
    TestFleet.MessageCount = 0;
    TestFleet.run(20s);
    // 50 rounds with two messages each, one more in every third and one more in every fifth round.
    CPPUNIT_ASSERT(TestFleet.MessageCount <= std::size_t{60} * 50 * 3);
    CPPUNIT_ASSERT(TestFleet.MaxEntriesPerMessage <= 60);
  }

  /// Guards against incomplete directory responses for more than a second after the start of an
  /// entry.
  void newEntriesLearnImmediately() {
    for (const std::size_t Count : {3, 18, 138}) {
      Fleet TestFleet(Count);
      TestFleet.run(10s);
      TestFleet.start(Count, 5000);
      TestFleet.run(500ms);
      const std::size_t Known =
          TestFleet.Entries.at(TestFleet.address(Count))->liveEntries().size();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(Count), Count + 1, Known);
    }
  }

  /// Guards against live entries that are considered dead because their heartbeats propagate too
  /// slowly.
  void liveEntriesAreNotRemoved() {
    for (const std::size_t Count : {3, 18, 60, 138}) {
      Fleet TestFleet(Count);
      TestFleet.run(10s);
      TestFleet.MinLiveCount = Count;
      TestFleet.run(60s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(Count), Count, TestFleet.MinLiveCount);
    }
  }

  /// Guards against gossip that exceeds the control traffic budget of 16 KB/s per entry. A record
  /// takes up to 8 bytes (tst_peercodec).
  void gossipStaysWithinByteBudget() {
    constexpr std::size_t RecordBytes = 8;
    constexpr std::size_t Seconds = 20;
    for (const std::size_t Count : {138, 500}) {
      Fleet TestFleet(Count);
      TestFleet.run(10s);
      TestFleet.RecordCount = 0;
      TestFleet.run(std::chrono::seconds(Seconds));
      const std::size_t BytesPerSecond = TestFleet.RecordCount * RecordBytes / Seconds / Count;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(BytesPerSecond), BytesPerSecond <= 16'000);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
