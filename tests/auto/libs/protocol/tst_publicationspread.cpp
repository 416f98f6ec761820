#include "Property.h"
#include "coordination/publications/PublicationDistributor.h"
#include "coordination/publications/PublicationLog.h"
#include "protocol/PublicationCodec.h"

#include <algorithm>
#include <deque>
#include <memory>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr Duration StepTime = 10ms;
/// 10 Mbit/s, the narrowest link of the users' VMs.
constexpr double LinkBytesPerStep = 1.25e6 * 0.010;
constexpr std::size_t EntryCount = 52;
constexpr int TargetCount = 381;
constexpr int RouteCount = 40;
/// The same as in StoreClient and PublicationExchange.
constexpr Duration WatchBatchDelay = 400ms;
constexpr Duration FetchTimeout = 600ms;
/// Time within which a change must be in force everywhere.
constexpr Duration PropagationLimit = 2500ms;

Configuration makeConfiguration(std::uint64_t Version) {
  Configuration Result;
  Result.Version = Version;
  for (int Index = 0; Index < RouteCount; ++Index) {
    Route Added;
    Added.Name = RouteName("r-" + std::to_string(100000 + Index));
    Added.Host = "orchard-" + std::to_string(Index) + ".example";
    Added.PathPrefix = "/press" + std::to_string(Index) + "/status/";
    Added.Timeout = 3s;
    Added.LatencyObjective = 500ms;
    Added.Services = {{ServiceName("board-service"), 1}, {ServiceName("vault-service"), 2}};
    Result.Routes.push_back(Added);
  }
  return Result;
}

TargetRegistered makeRegistration(int Number) {
  Target Value;
  Value.Name = TargetName("i-" + std::to_string(1000000000 + Number));
  Value.Service = ServiceName("board-service");
  Value.Address = {"10.3.64." + std::to_string(Number % 250), 8520};
  Value.Domain = FailureDomainName("a1");
  Value.Slots = 3;
  Value.StartedUnixMilliseconds = 1'790'000'000'000 + Number;
  return {Value};
}

/// Source of publications that keeps all changes, or drops those made so far.
class Source {
public:
  Source() {
    for (int Number = 0; Number < TargetCount; ++Number) {
      this->publish(makeRegistration(Number));
    }
    this->publish(makeConfiguration(1));
  }

  void publish(const Publication &Change) {
    ++this->Revision;
    this->Changes.push_back({this->Revision, Change});
    this->Current.apply({false,
                         this->Revision - 1,
                         this->Revision,
                         Duration(0),
                         {Change},
                         {},
                         this->Epoch,
                         this->Epoch});
  }

  PublicationBatch copy() const { return this->Current.batchSince({}); }

  /// Returns to a copy. Everything published since is lost.
  void restore(PublicationBatch Copy) {
    ++this->Epoch;
    Copy.Epoch = this->Epoch;
    this->Revision = Copy.Revision;
    this->Changes.clear();
    this->Current = {};
    this->Current.apply(Copy);
  }

  void dropHistory() { this->Changes.clear(); }

  /// Changes after a revision, or a snapshot if some of them were dropped.
  PublicationBatch read(const SourcePosition &Known) const {
    const std::int64_t Since = Known.Revision;
    const std::int64_t Kept =
        this->Changes.empty() ? this->Revision + 1 : this->Changes.front().first;
    if (Since == 0 || Known.Epoch != this->Epoch || (Since + 1 < Kept && Since < this->Revision)) {
      return this->Current.batchSince({});
    }
    PublicationBatch Result{false, Since, this->Revision, Duration(0),
                            {},    {},    this->Epoch,    this->Epoch};
    for (const auto &[ChangeRevision, Change] : this->Changes) {
      if (ChangeRevision > Since) {
        Result.Changes.push_back(Change);
      }
    }
    return Result;
  }

  std::int64_t Revision = 0;
  std::int64_t Epoch = 0;

private:
  std::deque<std::pair<std::int64_t, Publication>> Changes;
  PublicationLog Current;
};

/// Entries of one region that fetch publications from each other over narrow links.
class NarrowRegion {
public:
  NarrowRegion() : Entries(EntryCount) {
    std::vector<EntryRecord> Live;
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      Live.push_back({address(Index), domain(Index), 1, 1, EntryState::Ready});
    }
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      Topology FleetTopology;
      FleetTopology.RegionByDomain = {{FailureDomainName("a1"), RegionName("a")},
                                      {FailureDomainName("a2"), RegionName("a")}};
      FleetTopology.OwnDomain = domain(Index);
      FleetTopology.OwnRegion = RegionName("a");
      this->Entries[Index].Distributor =
          std::make_unique<PublicationDistributor>(address(Index), FleetTopology, this->Now);
      this->Entries[Index].Distributor->setEntries(Live);
    }
  }

  void run(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End; this->Now += StepTime) {
      for (std::size_t Index = 0; Index < EntryCount; ++Index) {
        this->readSource(Index);
        this->Entries[Index].Distributor->onTick(this->Now);
        this->applyEffects(Index);
      }
      this->transfer();
    }
  }

  /// Lowest version of the configuration that any entry has.
  std::uint64_t oldestVersion() const {
    std::uint64_t Result = UINT64_MAX;
    for (const Entry &Each : this->Entries) {
      Result = std::min(Result, Each.Version);
    }
    return Result;
  }

  Source Store;
  TimePoint Now{10s};
  /// The entries of the first failure domain don't reach the source until this time.
  TimePoint UnreachableUntil{};
  std::size_t FailedFetches = 0;

  /// True if all entries have the publications of the source.
  bool isUpToDate() const {
    return std::all_of(this->Entries.begin(), this->Entries.end(), [this](const Entry &Each) {
      return Each.Log.batchSince({}) == this->Store.copy();
    });
  }

private:
  struct Transfer {
    std::size_t Receiver = 0;
    PublicationBatch Batch;
    double BytesLeft = 0;
    TimePoint Deadline{};
  };

  struct Entry {
    std::unique_ptr<PublicationDistributor> Distributor;
    PublicationLog Log;
    std::uint64_t Version = 0;
    bool IsReading = false;
    TimePoint NextRead{};
    /// Responses that this entry sends; they share its link.
    std::vector<Transfer> Sending;
  };

  static std::string address(std::size_t Index) { return "10.0.0." + std::to_string(Index + 1); }
  static FailureDomainName domain(std::size_t Index) {
    return FailureDomainName(Index % 2 == 0 ? "a1" : "a2");
  }

  void apply(Entry &Each, const PublicationBatch &Batch) {
    if (!Each.Log.apply(Batch)) {
      return;
    }
    for (const Publication &Change : Batch.Changes) {
      if (const auto *Newer = std::get_if<Configuration>(&Change)) {
        Each.Version = std::max(Each.Version, Newer->Version);
      }
    }
  }

  void readSource(std::size_t Index) {
    Entry &Reader = this->Entries[Index];
    if (!Reader.IsReading || this->Now < Reader.NextRead) {
      return;
    }
    if (this->Now < this->UnreachableUntil && Index % 2 == 0) {
      Reader.Distributor->onSourceUnavailable();
      return;
    }
    const PublicationBatch Batch = this->Store.read(Reader.Log.position());
    if (!Batch.Changes.empty() || Batch.IsSnapshot) {
      this->apply(Reader, Batch);
      Reader.NextRead = this->Now + WatchBatchDelay;
    }
    Reader.Distributor->onSourceResponse(Reader.Log.position(), this->Now, this->Now);
  }

  void applyEffects(std::size_t Index) {
    for (const DistributionEffect &Effect : this->Entries[Index].Distributor->takeEffects()) {
      if (const auto *Reading = std::get_if<SetSourceReading>(&Effect)) {
        this->Entries[Index].IsReading = Reading->IsEnabled;
      } else if (const auto *Send = std::get_if<SendNotice>(&Effect)) {
        for (const std::string &Receiver : Send->Receivers) {
          this->find(Receiver).Distributor->onNotice(address(Index), Send->Notice, this->Now);
        }
      } else {
        Entry &Sender = this->find(std::get<FetchPublications>(Effect).Entry);
        PublicationBatch Batch = Sender.Log.batchSince(this->Entries[Index].Log.position());
        const auto Bytes = static_cast<double>(writeBatch(Batch).size());
        Sender.Sending.push_back({Index, std::move(Batch), Bytes, this->Now + FetchTimeout});
      }
    }
  }

  void transfer() {
    for (Entry &Sender : this->Entries) {
      const double Share =
          LinkBytesPerStep / static_cast<double>(std::max<std::size_t>(1, Sender.Sending.size()));
      std::vector<Transfer> Running;
      for (Transfer &Each : std::exchange(Sender.Sending, {})) {
        Each.BytesLeft -= Share;
        PublicationDistributor &Receiver = *this->Entries[Each.Receiver].Distributor;
        if (Each.BytesLeft <= 0) {
          this->apply(this->Entries[Each.Receiver], Each.Batch);
          Receiver.onFetched(this->Entries[Each.Receiver].Log.position(), this->Now);
        } else if (this->Now >= Each.Deadline) {
          ++this->FailedFetches;
          Receiver.onFetchFailed(this->Now);
        } else {
          Running.push_back(std::move(Each));
        }
      }
      Sender.Sending = std::move(Running);
    }
  }

  Entry &find(const std::string &Address) {
    const auto Index = std::stoul(Address.substr(Address.rfind('.') + 1)) - 1;
    return this->Entries.at(Index);
  }

  std::vector<Entry> Entries;
};

} // namespace

class PublicationSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationSpreadTest);
  CPPUNIT_TEST(stormOfConfigurationsIsInForceInTime);
  CPPUNIT_TEST(configurationIsInForceInTimeAfterDroppedHistory);
  CPPUNIT_TEST(configurationIsInForceInTimeAfterRestore);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against readers that send each superseded version to entries that are already late.
  void stormOfConfigurationsIsInForceInTime() {
    for (const Duration Gap : {80ms, 200ms, 500ms}) {
      NarrowRegion Region;
      Region.run(4s);
      std::deque<std::pair<TimePoint, std::uint64_t>> Published;
      for (std::uint64_t Version = 2; Region.Now < TimePoint(24s); ++Version) {
        Region.Store.publish(makeConfiguration(Version));
        Published.emplace_back(Region.Now, Version);
        Region.run(Gap);
        while (!Published.empty() && Region.Now - Published.front().first >= PropagationLimit) {
          CPPUNIT_ASSERT(Region.oldestVersion() >= Published.front().second);
          Published.pop_front();
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Region.FailedFetches);
    }
  }

  /// Guards against entries that pass over what the source publishes after it has returned from an
  /// older copy, because its revisions are lower than known ones or the same.
  void configurationIsInForceInTimeAfterRestore() {
    for (const int LostChanges : {1, 5}) {
      for (const bool IsCut : {false, true}) {
        NarrowRegion Region;
        Region.run(4s);
        std::uint64_t Version = 1;
        for (int Restore = 0; Restore < 3; ++Restore) {
          const PublicationBatch Copy = Region.Store.copy();
          for (int Change = 0; Change < LostChanges; ++Change) {
            Region.Store.publish(makeConfiguration(++Version));
            Region.run(PropagationLimit);
            CPPUNIT_ASSERT_EQUAL(Version, Region.oldestVersion());
          }
          if (IsCut) {
            Region.UnreachableUntil = Region.Now + 5s;
          }
          Region.Store.restore(Copy);
          // The operator publishes the lost version again, then the next one.
          Region.Store.publish(makeConfiguration(Version));
          Region.Store.publish(makeConfiguration(++Version));
          Region.run(PropagationLimit);
          CPPUNIT_ASSERT_EQUAL(Version, Region.oldestVersion());
          CPPUNIT_ASSERT(Region.isUpToDate());
        }
      }
    }
  }

  /// Guards against readers that send all registrations to all entries after a new listing.
  void configurationIsInForceInTimeAfterDroppedHistory() {
    NarrowRegion Region;
    Region.run(4s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Region.oldestVersion());
    const std::size_t FailedAtStart = Region.FailedFetches;
    for (std::uint64_t Version = 2; Version < 12; ++Version) {
      Region.Store.publish(makeConfiguration(Version));
      Region.Store.dropHistory();
      Region.run(1s);
      CPPUNIT_ASSERT_EQUAL(Version, Region.oldestVersion());
    }
    CPPUNIT_ASSERT_EQUAL(FailedAtStart, Region.FailedFetches);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationSpreadTest);
