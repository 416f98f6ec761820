#include "Batches.h"
#include "Property.h"
#include "coordination/PublicationLog.h"

#include <map>

using namespace anvilsaddle;

namespace {

TargetRegistered registered(int Number, std::int64_t Born = 1) {
  Target Value;
  Value.Name = TargetName("t" + std::to_string(Number));
  Value.StartedUnixMilliseconds = Born;
  return {Value};
}

Configuration version(std::uint64_t Number) {
  Configuration Result;
  Result.Version = Number;
  return Result;
}

/// Everything that a log knows, in a form that can be compared.
PublicationBatch content(const PublicationLog &Log) {
  PublicationBatch Result = Log.batchSince(0);
  Result.Revision = 0;
  return Result;
}

} // namespace

class PublicationLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationLogTest);
  CPPUNIT_TEST(batches);
  CPPUNIT_TEST(followersEndUpEqual);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against changes that are missed, and knowledge that goes back.
  void batches() {
    struct Case {
      const char *Name;
      PublicationBatch Batch;
      bool Accepted;
      std::int64_t Revision;
    };
    const Case Table[] = {
        {"next", batch(false, {registered(2)}, 10, 12), true, 12},
        {"overlapping", batch(false, {registered(2)}, 5, 12), true, 12},
        {"a gap before it", batch(false, {registered(2)}, 11, 12), false, 10},
        {"older", batch(false, {registered(2)}, 1, 9), false, 10},
        {"complete and newer", batch(true, {}, 0, 20), true, 20},
        {"complete and older", batch(true, {}, 0, 9), false, 10},
    };
    for (const Case &Each : Table) {
      PublicationLog Log;
      CPPUNIT_ASSERT(Log.apply(batch(true, {registered(1), version(7)}, 0, 10)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Accepted, Log.apply(Each.Batch));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Revision, Log.revision());
    }
    PublicationLog Log;
    CPPUNIT_ASSERT(Log.apply(batch(true, {version(7)}, 0, 10)));
    CPPUNIT_ASSERT(Log.apply(batch(false, {version(5)}, 10, 11)));
    CPPUNIT_ASSERT_MESSAGE("versions never go back",
                           std::get<Configuration>(Log.batchSince(0).Changes.front()).Version == 7);
    CPPUNIT_ASSERT(!Log.batchSince(10).IsSnapshot && Log.batchSince(10).Changes.size() == 1);
    CPPUNIT_ASSERT(Log.batchSince(11).Changes.empty() && Log.batchSince(9).IsSnapshot);
  }

  /// Guards against an entry that knows something else than the one it asks, however far behind it
  /// was.
  void followersEndUpEqual() {
    checkProperty("a follower knows what its source knows", [] {
      PublicationLog Source;
      PublicationLog Follower;
      std::int64_t Revision = 1;
      Source.apply(batch(true, {registered(0)}, 0, Revision));
      const int Steps = *rc::gen::inRange(1, 900);
      for (int Step = 0; Step < Steps; ++Step) {
        const int Draw = *rc::gen::inRange(0, 100);
        const std::int64_t Next = Revision + 1 + Draw % 3;
        Publication Change = registered(Draw % 9, Step);
        if (Draw < 20) {
          Change = TargetRemoved{TargetName("t" + std::to_string(Draw % 9))};
        } else if (Draw < 30) {
          Change = DomainEvacuation{FailureDomainName("d" + std::to_string(Draw % 2)), Draw < 25};
        }
        RC_ASSERT(Source.apply(batch(false, {Change}, Revision, Next)));
        Revision = Next;
        if (Draw > 95) {
          RC_ASSERT(Follower.apply(Source.batchSince(Follower.revision())));
          RC_ASSERT(content(Follower) == content(Source));
        }
      }
      RC_ASSERT(Follower.apply(Source.batchSince(Follower.revision())));
      RC_ASSERT(content(Follower) == content(Source));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationLogTest);
