#include "FakeStore.h"
#include "Property.h"
#include "model/SeededRandom.h"
#include "platform/StoreClient.h"
#include "transport/SystemClock.h"

#include <cstdint>
#include <limits>
#include <string>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

namespace {

constexpr int OldRevision = 7;
constexpr int NewRevision = 9;

/// Store that answers all plain reads, but leaves the first watches without a response.
class SilentStore {
public:
  SilentStore(int SilentWatches, bool HasOldStaleReads)
      : SilentWatches(SilentWatches), HasOldStaleReads(HasOldStaleReads),
        Server([this](RawConnection &Caller, int) {
          this->respond(Caller, this->Server.Requests.back());
        }) {}

  std::uint16_t port() const { return this->Server.Port; }
  void change() { this->Revision = NewRevision; }

  int WatchCount = 0;
  /// Number of plain reads since the change.
  int ReadCount = 0;

private:
  void respond(RawConnection &Caller, const std::string &Request) {
    if (Request.find("/-/kv-watch") == std::string::npos) {
      this->ReadCount += this->Revision == NewRevision ? 1 : 0;
      const bool IsStale = Request.find("allowStale") != std::string::npos;
      const int Shown = IsStale && this->HasOldStaleReads ? OldRevision : this->Revision;
      Caller.send(range(Shown == NewRevision ? item("op/evacuate/a") : "", Shown));
      return;
    }
    const std::string Current = "after=" + std::to_string(this->Revision) + "&";
    if (++this->WatchCount > this->SilentWatches && Request.find(Current) == std::string::npos) {
      Caller.send(events(item("op/evacuate/a"), this->Revision));
    }
  }

  int SilentWatches;
  bool HasOldStaleReads;
  int Revision = OldRevision;
  ScriptedServer Server;
};

} // namespace

class SilentWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentWatchTest);
  CPPUNIT_TEST(changesArriveDespiteSilentWatches);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a configuration that is not in force in time because watches went silent while
  /// the store responds to other requests.
  void changesArriveDespiteSilentWatches() {
    constexpr int AllWatches = std::numeric_limits<int>::max();
    constexpr int MaxReads = 6;
    struct Case {
      const char *Name;
      int SilentWatches;
      bool HasOldStaleReads;
    };
    const Case Table[] = {
        {"one watch", 1, false},
        {"one watch, and stale reads are old", 1, true},
        {"all watches", AllWatches, false},
        {"all watches, and stale reads are old", AllWatches, true},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      SilentStore Store(Each.SilentWatches, Each.HasOldStaleReads);
      StoreClient Client({"127.0.0.1", Store.port()}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Store.WatchCount == 1; }));
      Store.change();
      CPPUNIT_ASSERT_MESSAGE(
          Each.Name, runUntil([&] { return Listener.Text.find(" to 9:1;") != std::string::npos; }));
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Store.ReadCount <= MaxReads);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentWatchTest);
