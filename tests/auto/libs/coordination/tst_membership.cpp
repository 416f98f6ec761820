#include "Property.h"
#include "coordination/Membership.h"
#include "model/SeededRandom.h"

#include <algorithm>
#include <functional>
#include <memory>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};
/// Messages are lost now and then.
constexpr double LossShare = 0.05;

Topology makePlaces(const std::string &Domain) {
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

/// Entries that gossip over a network with losses.
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
    MemberRecord Self{this->address(Index), FailureDomainName(Domain), UnixMilliseconds, 0,
                      EntryState::Ready};
    this->Entries[this->address(Index)] = std::make_unique<Membership>(
        Self, makePlaces(Domain), std::set<std::string>{this->address(0), this->address(1)},
        this->Random, this->Now);
  }

  void kill(std::size_t Index) { this->Entries.erase(this->address(Index)); }

  void run(Duration Time) {
    const TimePoint End = this->Now + Time;
    for (; this->Now < End; this->Now += 100ms) {
      for (const auto &[Address, Entry] : this->Entries) {
        if (!this->Frozen.contains(Address)) {
          this->deliver(Address, Entry->onTick(this->Now));
        }
      }
      this->FewestLive = std::min(this->FewestLive, this->fewestLive());
    }
  }

  void deliver(const std::string &From, const std::vector<OutgoingGossip> &Messages) {
    for (const OutgoingGossip &Each : Messages) {
      const auto To = this->Entries.find(Each.Receiver);
      const bool IsCut = this->IsCut && this->IsCut(From, Each.Receiver);
      if (To != this->Entries.end() && !IsCut && !this->Frozen.contains(Each.Receiver) &&
          this->Random.uniform() >= LossShare) {
        this->deliver(Each.Receiver, To->second->onMessage(From, Each.Message, this->Now));
      }
      this->MostMembers = std::max(this->MostMembers, Each.Message.Members.size());
      this->Records += Each.Message.Members.size();
      ++this->Messages;
    }
  }

  /// True if the live entries of each entry that runs are exactly those that run.
  bool agrees() const {
    for (const auto &[Address, Entry] : this->Entries) {
      if (!this->Frozen.contains(Address) && Entry->liveMembers().size() != this->Entries.size()) {
        return false;
      }
    }
    return true;
  }

  /// Live entries by the view of the entry that knows the fewest.
  std::size_t fewestLive() const {
    std::size_t Result = this->Entries.size();
    for (const auto &[Address, Entry] : this->Entries) {
      Result = std::min(Result, Entry->liveMembers().size());
    }
    return Result;
  }

  bool anyKnows(std::size_t Index) const {
    const std::string Wanted = this->address(Index);
    return std::any_of(this->Entries.begin(), this->Entries.end(), [&](const auto &Each) {
      const auto Live = Each.second->liveMembers();
      return std::any_of(Live.begin(), Live.end(),
                         [&](const MemberRecord &Member) { return Member.Address == Wanted; });
    });
  }

  SeededRandom Random;
  TimePoint Now = Start;
  std::map<std::string, std::unique_ptr<Membership>> Entries;
  std::set<std::string> Frozen;
  std::function<bool(const std::string &, const std::string &)> IsCut;
  std::size_t MostMembers = 0;
  std::size_t Messages = 0;
  std::size_t Records = 0;
  std::size_t FewestLive = 0;
};

} // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(fleetsFindThemselves);
  CPPUNIT_TEST(deadEntriesAreForgotten);
  CPPUNIT_TEST(restarts);
  CPPUNIT_TEST(partitionsHeal);
  CPPUNIT_TEST(pauses);
  CPPUNIT_TEST(leaving);
  CPPUNIT_TEST(messagesAreBounded);
  CPPUNIT_TEST(newEntriesLearnAtOnce);
  CPPUNIT_TEST(liveEntriesAreKept);
  CPPUNIT_TEST(largeFleetsStayWithinTheirBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against entries that stay unknown although all start from the same seeds.
  void fleetsFindThemselves() {
    for (const std::size_t Count : {1, 2, 18, 60, 138}) {
      Fleet All(Count);
      All.run(7s);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Count), All.agrees());
      All.run(30s);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Count), All.agrees());
    }
  }

  /// Guards against directory answers with an entry that died seven seconds ago.
  void deadEntriesAreForgotten() {
    for (const std::size_t Count : {3, 18, 138}) {
      Fleet All(Count);
      All.run(10s);
      All.kill(0);
      All.kill(Count - 1);
      All.run(6900ms);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Count), !All.anyKnows(0) && !All.anyKnows(Count - 1));
      CPPUNIT_ASSERT(All.agrees());
    }
  }

  /// Guards against an entry that stays dead for the others after a restart, also if its clock went
  /// back meanwhile.
  void restarts() {
    for (const std::int64_t Incarnation : {2000, 500}) {
      Fleet All(18);
      All.run(10s);
      All.kill(5);
      All.run(1s);
      All.start(5, Incarnation);
      All.run(8s);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Incarnation), All.agrees());
    }
  }

  /// Guards against parts of the fleet that don't find back, with and without the seeds.
  void partitionsHeal() {
    Fleet All(18);
    All.run(10s);
    const auto IsFirst = [&All](const std::string &Address) { return Address < All.address(5); };
    All.IsCut = [&](const std::string &From, const std::string &To) {
      return IsFirst(From) != IsFirst(To);
    };
    All.run(60s);
    CPPUNIT_ASSERT(!All.agrees());
    All.IsCut = nullptr;
    All.run(12s);
    CPPUNIT_ASSERT(All.agrees());
  }

  /// Guards against an entry that takes all others for dead because it stood still itself.
  void pauses() {
    Fleet All(18);
    All.run(10s);
    All.Frozen = {All.address(4)};
    All.run(3s);
    All.Frozen.clear();
    All.run(100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{18}, All.Entries.at(All.address(4))->liveMembers().size());
    All.run(5s);
    CPPUNIT_ASSERT(All.agrees());
  }

  /// Guards against callers that are sent to an entry after it said that it ends.
  void leaving() {
    Fleet All(18);
    All.run(10s);
    Membership &Ending = *All.Entries.at(All.address(3));
    Ending.setState(EntryState::Leaving);
    All.deliver(All.address(3), Ending.announce());
    std::size_t Know = 0;
    for (const auto &[Address, Entry] : All.Entries) {
      for (const MemberRecord &Each : Entry->liveMembers()) {
        Know += Each.Address == All.address(3) && Each.State == EntryState::Leaving ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(Know >= 15);
  }

  /// Guards against gossip that grows with the square of the fleet.
  void messagesAreBounded() {
    Fleet All(60);
    All.run(10s);
    All.Messages = 0;
    All.run(20s);
    // 50 rounds of two messages, with one more in each third and each fifth.
    CPPUNIT_ASSERT(All.Messages <= std::size_t{60} * 50 * 3);
    CPPUNIT_ASSERT(All.MostMembers <= 60);
  }

  /// Guards against directory answers with few entries for more than a second after a start.
  void newEntriesLearnAtOnce() {
    for (const std::size_t Count : {3, 18, 138}) {
      Fleet All(Count);
      All.run(10s);
      All.start(Count, 5000);
      All.run(500ms);
      const std::size_t Known = All.Entries.at(All.address(Count))->liveMembers().size();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(Count), Count + 1, Known);
    }
  }

  /// Guards against entries that are taken for dead while they live, because their beats travel
  /// slowly.
  void liveEntriesAreKept() {
    for (const std::size_t Count : {3, 18, 60, 138}) {
      Fleet All(Count);
      All.run(10s);
      All.FewestLive = Count;
      All.run(60s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(Count), Count, All.FewestLive);
    }
  }

  /// Guards against gossip beyond the 16 KB/s that an entry may spend for control; a record takes
  /// up to 8 bytes (tst_peercodec).
  void largeFleetsStayWithinTheirBytes() {
    constexpr std::size_t RecordBytes = 8;
    constexpr std::size_t Seconds = 20;
    for (const std::size_t Count : {138, 500}) {
      Fleet All(Count);
      All.run(10s);
      All.Records = 0;
      All.run(std::chrono::seconds(Seconds));
      const std::size_t BytesPerSecond = All.Records * RecordBytes / Seconds / Count;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(BytesPerSecond), BytesPerSecond <= 16'000);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
