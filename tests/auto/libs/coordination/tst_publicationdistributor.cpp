#include "Property.h"
#include "coordination/PublicationDistributor.h"

#include <functional>
#include <memory>
#include <set>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

/// Entries of one region with two failure domains, and a source whose revision rises.
class Region {
public:
  explicit Region(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      this->start(Index);
    }
  }

  static std::string address(std::size_t Index) { return "10.0.0." + std::to_string(Index + 1); }

  void start(std::size_t Index) {
    Topology Places;
    Places.RegionByDomain = {{FailureDomainName("a1"), RegionName("a")},
                             {FailureDomainName("a2"), RegionName("a")}};
    Places.OwnDomain = FailureDomainName(Index % 2 == 0 ? "a1" : "a2");
    Places.OwnRegion = RegionName("a");
    Entry Added;
    Added.Domain = Places.OwnDomain;
    Added.Spread = std::make_unique<PublicationDistributor>(address(Index), Places, this->Now);
    this->Entries[address(Index)] = std::move(Added);
    this->tellMembers();
  }

  void kill(const std::string &Address) {
    this->Entries.erase(Address);
    // Membership takes seconds to notice; the spread must not wait for it.
  }

  void tellMembers() {
    std::vector<MemberRecord> Live;
    for (const auto &[Address, Each] : this->Entries) {
      Live.push_back({Address, Each.Domain, 1, 1, EntryState::Ready});
    }
    for (auto &[Address, Each] : this->Entries) {
      Each.Spread->setMembers(Live);
    }
  }

  void run(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End; this->Now += 50ms) {
      for (auto &[Address, Each] : this->Entries) {
        this->step(Address, Each);
      }
    }
  }

  std::set<std::string> readers() const {
    std::set<std::string> Result;
    for (const auto &[Address, Each] : this->Entries) {
      if (Each.Reads) {
        Result.insert(Address);
      }
    }
    return Result;
  }

  bool allKnow(std::int64_t Revision) const {
    for (const auto &[Address, Each] : this->Entries) {
      if (Each.Revision < Revision) {
        return false;
      }
    }
    return true;
  }

  TimePoint Now{10s};
  std::int64_t SourceRevision = 1;
  /// The source answers an entry.
  std::function<bool(const std::string &)> IsAnswered = [](const std::string &) { return true; };
  std::size_t Calls = 0;

private:
  struct Entry {
    FailureDomainName Domain;
    std::unique_ptr<PublicationDistributor> Spread;
    std::int64_t Revision = 0;
    bool Reads = false;
  };

  void step(const std::string &Address, Entry &Each) {
    Each.Spread->onTick(this->Now);
    if (Each.Reads && !this->IsAnswered(Address)) {
      Each.Spread->onSourceUnavailable();
    } else if (Each.Reads) {
      this->Calls += Each.Revision < this->SourceRevision ? 1 : 0;
      Each.Revision = this->SourceRevision;
      Each.Spread->onSourceResponse(Each.Revision, this->Now);
    }
    for (const DistributionEffect &Effect : Each.Spread->takeEffects()) {
      this->carryOut(Address, Each, Effect);
    }
  }

  void carryOut(const std::string &Address, Entry &Each, const DistributionEffect &Effect) {
    if (const auto *Use = std::get_if<SetSourceReading>(&Effect)) {
      Each.Reads = Use->Active;
    } else if (const auto *Send = std::get_if<SendNotice>(&Effect)) {
      for (const std::string &Receiver : Send->Receivers) {
        const auto To = this->Entries.find(Receiver);
        if (To != this->Entries.end()) {
          To->second.Spread->onNotice(Address, Send->Notice, this->Now);
        }
      }
    } else {
      const auto From = this->Entries.find(std::get<FetchPublications>(Effect).Entry);
      if (From == this->Entries.end()) {
        Each.Spread->onFetchFailed(this->Now);
        return;
      }
      Each.Revision = std::max(Each.Revision, From->second.Revision);
      Each.Spread->onFetched(Each.Revision, this->Now);
    }
  }

  std::map<std::string, Entry> Entries;
};

} // namespace

class PublicationDistributorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationDistributorTest);
  CPPUNIT_TEST(oneReaderPerDomain);
  CPPUNIT_TEST(deadReadersAreReplaced);
  CPPUNIT_TEST(readersThatAreTurnedAway);
  CPPUNIT_TEST(outage);
  CPPUNIT_TEST(restartOfAll);
  CPPUNIT_TEST(startsEndSoon);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against calls to the source that grow with the number of entries.
  void oneReaderPerDomain() {
    for (const std::size_t Count : {1, 2, 7, 46}) {
      Region All(Count);
      All.run(10s);
      CPPUNIT_ASSERT_EQUAL(std::min<std::size_t>(2, Count), All.readers().size());
      All.Calls = 0;
      for (int Change = 0; Change < 20; ++Change) {
        ++All.SourceRevision;
        All.run(300ms);
        CPPUNIT_ASSERT(All.allKnow(All.SourceRevision));
      }
      CPPUNIT_ASSERT(All.Calls <= 40);
    }
  }

  /// Guards against entries that work by an old configuration because their readers died: a change
  /// must be in force everywhere within 2.5 s.
  void deadReadersAreReplaced() {
    Region All(18);
    All.run(10s);
    for (const std::string &Reader : All.readers()) {
      All.kill(Reader);
    }
    ++All.SourceRevision;
    All.run(2s);
    CPPUNIT_ASSERT(All.allKnow(All.SourceRevision));
    All.tellMembers();
    All.run(20s);
    CPPUNIT_ASSERT(All.readers().size() <= 2);
    ++All.SourceRevision;
    All.run(1s);
    CPPUNIT_ASSERT(All.allKnow(All.SourceRevision));
  }

  /// Guards against a region that stays behind because the source turns its readers away.
  void readersThatAreTurnedAway() {
    Region All(18);
    All.run(10s);
    const std::set<std::string> Away = All.readers();
    All.IsAnswered = [&Away](const std::string &Address) { return !Away.contains(Address); };
    for (int Change = 0; Change < 10; ++Change) {
      ++All.SourceRevision;
      All.run(2s);
      CPPUNIT_ASSERT(All.allKnow(All.SourceRevision));
    }
    CPPUNIT_ASSERT_MESSAGE("the others need not all read", All.readers().size() <= 5);
  }

  /// Guards against a fleet that waits for news from others after all entries were lost; callers
  /// are refused until then.
  void restartOfAll() {
    Region All(18);
    All.run(100ms);
    CPPUNIT_ASSERT(All.allKnow(All.SourceRevision));
  }

  /// Guards against a fleet whose entries all go on reading after they started together.
  void startsEndSoon() {
    for (const std::size_t Count : {7, 46}) {
      Region All(Count);
      All.run(1500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, All.readers().size());
      All.start(Count);
      All.run(1500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, All.readers().size());
    }
  }

  /// Guards against a fleet that doesn't recover from an outage of the source.
  void outage() {
    Region All(18);
    All.run(10s);
    All.IsAnswered = [](const std::string &) { return false; };
    All.run(20s);
    ++All.SourceRevision;
    All.IsAnswered = [](const std::string &) { return true; };
    All.run(500ms);
    CPPUNIT_ASSERT(All.allKnow(All.SourceRevision));
    All.run(20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, All.readers().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationDistributorTest);
