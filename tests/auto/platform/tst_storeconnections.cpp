#include "FakeStore.h"
#include "Property.h"
#include "model/SeededRandom.h"
#include "platform/StoreClient.h"
#include "transport/SystemClock.h"

#include <cstddef>
#include <set>
#include <string>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

namespace {

constexpr int WatchedRevision = 7;

/// What happens to the watch or the check that is under way when the store fails.
enum class Failure { Silent, Rejected, Reset };

/// Store on which one request fails. From then on, all connections that were open are silent, while
/// new ones work.
class PartlySilentStore {
public:
  PartlySilentStore(Failure Kind, bool IsWatchFailing)
      : Kind(Kind), IsWatchFailing(IsWatchFailing), Server([this](RawConnection &Caller, int) {
          this->respond(Caller, this->Server.Requests.back());
        }) {}

  std::uint16_t port() const { return this->Server.Port; }
  /// The next check, or the watch that waits, fails.
  void fail() {
    for (const auto &Each : this->Server.Connections) {
      this->SilentConnections.insert(Each.get());
    }
    this->HasFailed = true;
    if (this->IsWatchFailing) {
      this->sendFailure(*this->Watch);
    }
  }

  int WatchCount = 0;
  int CheckCount = 0;
  /// Requests that arrived on silent connections after the failure.
  int RequestsOnSilentConnections = 0;
  /// Requests that arrived on new connections after the failure.
  int RequestsOnNewConnections = 0;

private:
  void sendFailure(RawConnection &Caller) {
    this->HasSentFailure = true;
    if (this->Kind == Failure::Rejected) {
      Caller.send(response("", "503 Busy"));
    } else if (this->Kind == Failure::Reset) {
      Caller.reset();
    }
  }

  void respond(RawConnection &Caller, const std::string &Request) {
    const bool IsWatch = Request.find("/-/kv-watch") != std::string::npos;
    const bool IsCheck = Request.find("op/evacuate/") != std::string::npos;
    this->CheckCount += IsCheck ? 1 : 0;
    if (this->SilentConnections.contains(&Caller)) {
      if (this->HasSentFailure) {
        ++this->RequestsOnSilentConnections;
      } else {
        this->sendFailure(Caller);
      }
      return;
    }
    this->RequestsOnNewConnections += this->HasFailed ? 1 : 0;
    if (IsWatch) {
      ++this->WatchCount;
      this->Watch = &Caller;
      return;
    }
    Caller.send(range("", WatchedRevision));
  }

  Failure Kind;
  bool IsWatchFailing;
  bool HasFailed = false;
  bool HasSentFailure = false;
  RawConnection *Watch = nullptr;
  std::set<RawConnection *> SilentConnections;
  ScriptedServer Server;
};

} // namespace

class StoreConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreConnectionsTest);
  CPPUNIT_TEST(noConnectionIsUsedAgainAfterAFailure);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a client that recovers late because its next requests, one after the other,
  /// take pooled connections that went silent together with the one that failed.
  void noConnectionIsUsedAgainAfterAFailure() {
    struct Case {
      const char *Name;
      Failure Kind;
      bool IsWatchFailing;
    };
    const Case Table[] = {
        {"a check gets no response", Failure::Silent, false},
        {"a check is rejected", Failure::Rejected, false},
        {"the connection of a check is reset", Failure::Reset, false},
        {"a watch is rejected", Failure::Rejected, true},
        {"the connection of a watch is reset", Failure::Reset, true},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      RecordingListener Listener;
      PartlySilentStore Store(Each.Kind, Each.IsWatchFailing);
      StoreClient Client({"127.0.0.1", Store.port()}, Time, Random);
      Client.activate(Listener, {}, std::nullopt);
      // Then a check is in the pool beside the watch that waits.
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] {
                               return Store.WatchCount == 1 && Store.CheckCount == 1 &&
                                      Listener.KnownAsOf;
                             }));
      Store.fail();
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Store.WatchCount == 2; }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, 0, Store.RequestsOnSilentConnections);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Each.Name, std::string("all to 7:0;unchanged 7;lost;back;unchanged 7;"), Listener.Text);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Store.RequestsOnNewConnections >= 2);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreConnectionsTest);
