#include "Batches.h"
#include "Property.h"
#include "coordination/publications/PublicationLog.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

using namespace anvilsaddle;

namespace {

TargetRegistered makeRegistration(int Number, std::int64_t StartTime = 1) {
  Target Value;
  Value.Name = TargetName("t" + std::to_string(Number));
  Value.StartedUnixMilliseconds = StartTime;
  return {Value};
}

Configuration makeConfiguration(std::uint64_t Number) {
  Configuration Result;
  Result.Version = Number;
  return Result;
}

/// Name of what a publication is about.
std::string subjectOf(const Publication &Change) {
  if (const auto *Registered = std::get_if<TargetRegistered>(&Change)) {
    return "target " + Registered->Registration.Name.str();
  }
  if (const auto *Removed = std::get_if<TargetRemoved>(&Change)) {
    return "target " + Removed->Name.str();
  }
  if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Change)) {
    return "domain " + Evacuation->Domain.str();
  }
  return "configuration";
}

/// True if the batch has no two changes of the same subject.
bool hasEachSubjectOnce(const PublicationBatch &Batch) {
  std::set<std::string> Subjects;
  return std::all_of(
      Batch.Changes.begin(), Batch.Changes.end(),
      [&Subjects](const Publication &Each) { return Subjects.insert(subjectOf(Each)).second; });
}

rc::Gen<Publication> randomChange(std::int64_t Revision) {
  return rc::gen::map(rc::gen::inRange(0, 12), [Revision](int Number) -> Publication {
    const TargetName Name("t" + std::to_string(Number % 2));
    const FailureDomainName Domain("d" + std::to_string(Number % 2));
    switch (Number / 2) {
    case 0:
      return makeConfiguration(static_cast<std::uint64_t>(Revision) + 1);
    case 1:
      return TargetRemoved{Name};
    case 2:
    case 3:
      return DomainEvacuation{Domain, Number / 2 == 2};
    default:
      return makeRegistration(Number % 2, Number / 2);
    }
  });
}

/// Snapshot of a log without its revision, so that the content of two logs can be compared.
PublicationBatch contentOf(const PublicationLog &Log) {
  PublicationBatch Result = Log.batchSince({0, 0});
  Result.Revision = 0;
  return Result;
}

} // namespace

class PublicationLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationLogTest);
  CPPUNIT_TEST(batchesAreAppliedInOrder);
  CPPUNIT_TEST(snapshotsAreFetchedAsChanges);
  CPPUNIT_TEST(restoresAreFetchedAsChanges);
  CPPUNIT_TEST(entriesAgreeAfterRestores);
  CPPUNIT_TEST(followersConverge);
  CPPUNIT_TEST(entriesHaveTheStateOfTheirRevision);
  CPPUNIT_TEST(configurationThatIsWrittenAgainIsSent);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against missed changes and against a log that returns to an older state.
  void batchesAreAppliedInOrder() {
    struct Case {
      const char *Name;
      PublicationBatch Batch;
      bool IsApplied;
      std::int64_t Revision;
      std::int64_t KnownEpoch = 0;
    };
    const Case Table[] = {
        {"next", batch(false, {makeRegistration(2)}, 10, 12), true, 12},
        {"overlapping", batch(false, {makeRegistration(2)}, 5, 12), true, 12},
        {"gap before the batch", batch(false, {makeRegistration(2)}, 11, 12), false, 10},
        {"older", batch(false, {makeRegistration(2)}, 1, 9), false, 10},
        {"newer snapshot", batch(true, {}, 0, 20), true, 20},
        {"older snapshot", batch(true, {}, 0, 9), false, 10},
        {"snapshot of a newer epoch", batch(true, {}, 0, 4, 2), true, 4},
        {"changes of a newer epoch", batch(false, {makeRegistration(2)}, 10, 12, 2), false, 10},
        {"snapshot of an older epoch", batch(true, {}, 0, 99, 0), false, 10, 1},
        {"changes of an older epoch", batch(false, {makeRegistration(2)}, 10, 12, 0), false, 10, 1},
    };
    for (const Case &Each : Table) {
      PublicationLog Log;
      CPPUNIT_ASSERT(Log.apply(
          batch(true, {makeRegistration(1), makeConfiguration(7)}, 0, 10, Each.KnownEpoch)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsApplied, Log.apply(Each.Batch));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Revision, Log.position().Revision);
    }
    PublicationLog Log;
    CPPUNIT_ASSERT(Log.apply(batch(true, {makeConfiguration(7)}, 0, 10)));
    CPPUNIT_ASSERT(Log.apply(batch(false, {makeConfiguration(5)}, 10, 11)));
    CPPUNIT_ASSERT_MESSAGE(
        "an older version is ignored",
        std::get<Configuration>(Log.batchSince({0, 0}).Changes.front()).Version == 7);
    CPPUNIT_ASSERT(!Log.batchSince({0, 10}).IsSnapshot && Log.batchSince({0, 10}).Changes.empty());
    CPPUNIT_ASSERT(Log.apply(batch(false, {makeRegistration(1)}, 11, 12)));
    CPPUNIT_ASSERT(!Log.batchSince({0, 10}).IsSnapshot &&
                   Log.batchSince({0, 10}).Changes.size() == 1);
    CPPUNIT_ASSERT(!Log.batchSince({0, 11}).IsSnapshot &&
                   Log.batchSince({0, 11}).Changes.size() == 1);
    CPPUNIT_ASSERT(Log.batchSince({0, 12}).Changes.empty() && Log.batchSince({0, 9}).IsSnapshot);
  }

  /// Guards against entries that all fetch everything when the source has returned from an older
  /// copy, against an entry that gets the changes after a position of which not all is known, and
  /// against the return of an older configuration.
  void restoresAreFetchedAsChanges() {
    PublicationLog Log;
    Log.apply(batch(true, {makeConfiguration(7), makeRegistration(1)}, 0, 10, 1));
    Log.apply(batch(false, {makeRegistration(2), TargetRemoved{TargetName("t1")}}, 10, 12, 1));
    CPPUNIT_ASSERT(Log.apply(batch(true, {makeConfiguration(5), makeRegistration(1)}, 0, 9, 2)));
    PublicationBatch Restored =
        batch(false, {makeRegistration(1), TargetRemoved{TargetName("t2")}}, 12, 9, 2);
    Restored.SinceEpoch = 1;
    Restored.Gaps = {{{1, 12}, {2, 9}}};
    CPPUNIT_ASSERT(Log.batchSince({1, 12}) == Restored);
    struct Case {
      const char *Name;
      SourcePosition Known;
      bool IsSnapshot;
    };
    const Case Table[] = {
        {"before the restore", {1, 11}, false},
        {"ahead of the log before the restore", {1, 13}, true},
        {"behind the snapshot after the restore", {2, 8}, true},
        {"at the snapshot after the restore", {2, 9}, false},
        {"before the first snapshot", {1, 9}, true},
        {"before the source numbered its epochs", {0, 12}, true},
    };
    for (const Case &Each : Table) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.IsSnapshot,
                                   Log.batchSince(Each.Known).IsSnapshot);
    }
    PublicationLog Ahead;
    Ahead.apply(batch(true, {makeRegistration(3)}, 0, 13, 1));
    CPPUNIT_ASSERT_MESSAGE("the changes do not revert what this log has", !Ahead.apply(Restored));
    CPPUNIT_ASSERT(Ahead.apply(Log.batchSince(Ahead.position())));
    CPPUNIT_ASSERT(Ahead.batchSince({}) ==
                   batch(true, {makeConfiguration(7), makeRegistration(1)}, 0, 9, 2));
  }

  /// Guards against entries that disagree, or whose configuration gets older, after a source has
  /// returned from older copies while some entries did not reach it.
  void entriesAgreeAfterRestores() {
    checkProperty("entries agree with a source that returns from copies", [] {
      PublicationLog Store;
      Store.apply(batch(true, {makeConfiguration(1), makeRegistration(0)}, 0, 1, 1));
      PublicationBatch Copy = Store.batchSince({});
      std::uint64_t Version = 1;
      std::array<PublicationLog, 4> Entries;
      std::array<std::uint64_t, 4> Versions{};
      const auto Exchange = [&](std::size_t To, const PublicationBatch &Batch) {
        Entries.at(To).apply(Batch);
        for (const Publication &Each : Entries.at(To).batchSince({}).Changes) {
          if (const auto *Current = std::get_if<Configuration>(&Each)) {
            RC_ASSERT(Current->Version >= Versions.at(To));
            Versions.at(To) = Current->Version;
          }
        }
      };
      const int StepCount = *rc::gen::inRange(1, 150);
      for (int Step = 0; Step < StepCount; ++Step) {
        const int RandomNumber = *rc::gen::inRange(0, 60);
        const std::size_t To = static_cast<std::size_t>(RandomNumber) % 4;
        const SourcePosition Position = Store.position();
        if (RandomNumber < 25) {
          const Publication Change = *randomChange(static_cast<std::int64_t>(Version));
          Version += std::holds_alternative<Configuration>(Change) ? 1 : 0;
          Store.apply(
              batch(false, {Change}, Position.Revision, Position.Revision + 1, Position.Epoch));
        } else if (RandomNumber < 28) {
          Copy = Store.batchSince({});
        } else if (RandomNumber < 32) {
          Copy.Epoch = Position.Epoch + 1;
          Store = {};
          Store.apply(Copy);
        } else if (RandomNumber < 45) {
          // What the store client does: it continues in the same epoch and lists a newer one.
          Exchange(To, Store.batchSince(Entries.at(To).position()));
        } else {
          const PublicationLog &From = Entries.at(static_cast<std::size_t>(RandomNumber) / 4 % 4);
          if (From.position() > Entries.at(To).position()) {
            Exchange(To, From.batchSince(Entries.at(To).position()));
          }
        }
      }
      // The operator publishes again what the store has lost.
      const SourcePosition Position = Store.position();
      Store.apply(batch(false, {makeConfiguration(Version + 1)}, Position.Revision,
                        Position.Revision + 1, Position.Epoch));
      Exchange(0, Store.batchSince(Entries[0].position()));
      for (std::size_t Index = 1; Index < Entries.size(); ++Index) {
        Exchange(Index, Entries[Index - 1].batchSince(Entries.at(Index).position()));
      }
      for (const PublicationLog &Each : Entries) {
        RC_ASSERT(Each.batchSince({}) == Store.batchSince({}));
      }
    });
  }

  /// Guards against an entry that fetches everything because its source has listed the store again.
  void snapshotsAreFetchedAsChanges() {
    const FailureDomainName East("east");
    const FailureDomainName West("west");
    PublicationLog Log;
    CPPUNIT_ASSERT(Log.apply(batch(true,
                                   {makeConfiguration(7), makeRegistration(1), makeRegistration(2),
                                    makeRegistration(3), DomainEvacuation{East, true}},
                                   0, 10)));
    CPPUNIT_ASSERT(Log.apply(batch(true,
                                   {makeConfiguration(7), makeRegistration(1),
                                    makeRegistration(2, 5), DomainEvacuation{West, true}},
                                   0, 20)));
    PublicationBatch Expected =
        batch(false,
              {makeRegistration(2, 5), DomainEvacuation{East, false}, DomainEvacuation{West, true},
               TargetRemoved{TargetName("t3")}},
              10, 20);
    Expected.Gaps = {{{0, 10}, {0, 20}}};
    CPPUNIT_ASSERT(Log.batchSince({0, 10}) == Expected);
    CPPUNIT_ASSERT_MESSAGE("an entry inside the gap", Log.batchSince({0, 15}).IsSnapshot);
    CPPUNIT_ASSERT(Log.batchSince({0, 20}) == batch(false, {}, 20, 20));
    CPPUNIT_ASSERT(Log.batchSince({0, 9}).IsSnapshot);
    CPPUNIT_ASSERT(Log.batchSince({0, 0}) ==
                   batch(true,
                         {makeConfiguration(7), makeRegistration(1), makeRegistration(2, 5),
                          DomainEvacuation{West, true}},
                         0, 20));
  }

  /// Guards against an entry whose state differs from that of the entry it fetches from, regardless
  /// of how far it was behind, and against superseded changes in what it fetches.
  void followersConverge() {
    checkProperty("a follower has the same state as its source", [] {
      PublicationLog Source;
      PublicationLog Follower;
      std::int64_t Revision = 1;
      Source.apply(batch(true, {makeRegistration(0)}, 0, Revision));
      const int StepCount = *rc::gen::inRange(1, 900);
      for (int Step = 0; Step < StepCount; ++Step) {
        const int RandomNumber = *rc::gen::inRange(0, 100);
        const std::int64_t NextRevision = Revision + 1 + RandomNumber % 3;
        Publication Change = makeRegistration(RandomNumber % 9, Step);
        if (RandomNumber < 20) {
          Change = TargetRemoved{TargetName("t" + std::to_string(RandomNumber % 9))};
        } else if (RandomNumber < 30) {
          Change = DomainEvacuation{FailureDomainName("d" + std::to_string(RandomNumber % 2)),
                                    RandomNumber < 25};
        } else if (RandomNumber < 50) {
          Change = makeConfiguration(static_cast<std::uint64_t>(Revision));
        }
        if (RandomNumber >= 50 && RandomNumber < 55) {
          PublicationLog Listed;
          Listed.apply(batch(true, Source.batchSince({0, 0}).Changes, 0, Revision));
          Listed.apply(batch(false, {Change}, Revision, NextRevision));
          RC_ASSERT(Source.apply(Listed.batchSince({0, 0})));
        } else {
          RC_ASSERT(Source.apply(batch(false, {Change}, Revision, NextRevision)));
        }
        Revision = NextRevision;
        if (RandomNumber > 95) {
          RC_ASSERT(hasEachSubjectOnce(Source.batchSince(Follower.position())));
          RC_ASSERT(Follower.apply(Source.batchSince(Follower.position())));
          RC_ASSERT(contentOf(Follower) == contentOf(Source));
        }
      }
      RC_ASSERT(Follower.apply(Source.batchSince(Follower.position())));
      RC_ASSERT(contentOf(Follower) == contentOf(Source));
    });
  }

  /// Guards against changes that get lost when an entry fetches from several others, of which some
  /// list the store anew and have not seen what changed back in the meantime.
  void entriesHaveTheStateOfTheirRevision() {
    checkProperty("an entry has the state of its revision", [] {
      std::vector<PublicationBatch> States = {
          batch(true, {makeConfiguration(1), makeRegistration(0)}, 0, 1)};
      std::vector<Publication> History;
      PublicationLog Truth;
      Truth.apply(States.front());
      std::array<PublicationLog, 4> Entries;
      const int StepCount = *rc::gen::inRange(1, 120);
      for (int Step = 0; Step < StepCount; ++Step) {
        const int RandomNumber = *rc::gen::inRange(0, 60);
        PublicationLog &Entry = Entries.at(static_cast<std::size_t>(RandomNumber) % 4);
        const std::int64_t Revision = Truth.position().Revision;
        if (RandomNumber < 20) {
          History.push_back(*randomChange(Revision));
          Truth.apply(batch(false, {History.back()}, Revision, Revision + 1));
          States.push_back(Truth.batchSince({0, 0}));
        } else if (RandomNumber < 25) {
          RC_ASSERT(Entry.apply(States.back()));
        } else if (RandomNumber < 35 && Entry.position().Revision > 0) {
          std::vector<Publication> Missed(History.begin() + Entry.position().Revision - 1,
                                          History.end());
          RC_ASSERT(Entry.apply(batch(false, Missed, Entry.position().Revision, Revision)));
        } else {
          const PublicationLog &From = Entries.at(static_cast<std::size_t>(RandomNumber) / 4 % 4);
          if (From.position().Revision > Entry.position().Revision) {
            RC_ASSERT(Entry.apply(From.batchSince(Entry.position())));
          }
        }
        if (Entry.position().Revision > 0) {
          const auto Index = static_cast<std::size_t>(Entry.position().Revision) - 1;
          RC_ASSERT(Entry.batchSince({0, 0}) == States.at(Index));
        }
      }
    });
  }

  /// Guards against an entry that has read the older copy only and is never sent the version that
  /// the others know from before the restore.
  void configurationThatIsWrittenAgainIsSent() {
    PublicationLog Reader;
    CPPUNIT_ASSERT(Reader.apply(batch(true, {makeConfiguration(12)}, 0, 45, 0)));
    CPPUNIT_ASSERT(Reader.apply(batch(true, {makeConfiguration(10)}, 0, 44, 1)));
    PublicationLog Restarted;
    CPPUNIT_ASSERT(Restarted.apply(batch(true, {makeConfiguration(10)}, 0, 44, 1)));
    CPPUNIT_ASSERT(Reader.apply(batch(false, {makeConfiguration(12)}, 44, 50, 1)));
    CPPUNIT_ASSERT(Restarted.apply(Reader.batchSince(Restarted.position())));
    CPPUNIT_ASSERT(Restarted.batchSince({}) == Reader.batchSince({}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationLogTest);
