#include "../libs/transport/Loopback.h"
#include "Property.h"
#include "model/SeededRandom.h"
#include "platform/StoreClient.h"
#include "transport/SystemClock.h"

#include <functional>
#include <string>
#include <vector>

using namespace anvilsaddle;
using namespace anvilsaddle::platform;

namespace {

std::string answer(const std::string &Body, const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// `key` with an empty JSON object as value.
std::string item(const std::string &Key) {
  return R"({"key":")" + Key + R"(","value":"e30=","revision":1,"created":1,"lease":0})";
}

std::string range(const std::string &Items, int Revision, bool HasMore = false) {
  return answer(R"({"items":[)" + Items + R"(],"hasMore":)" + (HasMore ? "true" : "false") +
                R"(,"at":)" + std::to_string(Revision) + "}");
}

std::string events(const std::string &Items, int Revision) {
  return answer(R"({"events":[)" + Items + R"(],"at":)" + std::to_string(Revision) + "}");
}

/// The store as its protocol describes it: answers each call as the test says; no answer without
/// a word of the test.
class StoreStandin {
public:
  explicit StoreStandin(std::vector<std::string> Script)
      : Script(std::move(Script)), Server([this](RawConnection &Caller, int) {
          const std::string Call = this->Server.Requests.back();
          if (Call.find("/-/kv-key") != std::string::npos) {
            // Cheap reads, which tell whether the store answers.
            ++this->Checks;
            Caller.send(this->CheckAnswer);
            return;
          }
          this->Calls.push_back(Call);
          const std::size_t Index = this->Calls.size() - 1;
          if (Index >= this->Script.size()) {
            return;
          }
          if (this->Script[Index].empty()) {
            Caller.reset();
          } else {
            Caller.send(this->Script[Index]);
          }
        }) {}

  std::string call(std::size_t Index) const {
    const std::string &Head = this->Calls.at(Index);
    return Head.substr(0, Head.find(" HTTP"));
  }

  std::vector<std::string> Script;
  /// Heads of all calls but the cheap reads.
  std::vector<std::string> Calls;
  std::string CheckAnswer = answer("", "404 Not Found");
  int Checks = 0;
  ScriptedServer Server;
};

/// Keeps what the client reports, as text.
class Keeper final : public PublicationListener {
public:
  void onPublications(const PublicationBatch &Batch) override {
    this->Text += Batch.IsSnapshot ? "all" : "since " + std::to_string(Batch.Since);
    this->Text +=
        " to " + std::to_string(Batch.Revision) + ":" + std::to_string(Batch.Changes.size()) + ";";
  }
  void onUnchanged(std::int64_t Revision) override {
    this->Text += "unchanged " + std::to_string(Revision) + ";";
  }
  void onInvalidPublication(const Diagnostic &Problem) override {
    this->Text += "bad " + Problem.Path + ";";
  }
  void onSourceUnavailable(const std::string &) override { this->Text += "lost;"; }
  void onSourceRecovered() override { this->Text += "back;"; }

  std::string Text;
};

} // namespace

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(courses);
  CPPUNIT_TEST(calls);
  CPPUNIT_TEST(listsAnewAfterLostHistory);
  CPPUNIT_TEST(resumesAndStops);
  CPPUNIT_TEST(silentStores);
  CPPUNIT_TEST(returnOfASilentStore);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against changes that are missed between the listing and the watch, after an outage, or
  /// when the store dropped its history.
  void courses() {
    const std::string Out = item("op/evacuate/a");
    struct Case {
      const char *Name;
      std::vector<std::string> Script;
      std::string Expected;
    };
    const Case Table[] = {
        {"listing and change", {range(Out, 7), events(Out, 9)}, "all to 7:1;since 7 to 9:1;"},
        {"pages",
         {range(Out, 7, true), range(item("op/evacuate/b"), 8), events("", 8)},
         "all to 7:2;unchanged 8;"},
        {"pages of different ages",
         {range(Out, 8, true), range(item("op/evacuate/b"), 7), events(Out, 8)},
         "all to 7:2;since 7 to 8:1;"},
        {"busy", {answer("", "503 Busy"), range(Out, 7)}, "lost;back;all to 7:1;"},
        {"too many calls", {answer("", "429 Too Many"), range(Out, 7)}, "lost;back;all to 7:1;"},
        {"reset", {range(Out, 7), "", events(Out, 9)}, "all to 7:1;lost;back;since 7 to 9:1;"},
        {"history gone",
         {range(Out, 7), answer("", "410 Gone"), range("", 20), events(Out, 21)},
         "all to 7:1;all to 20:0;since 20 to 21:1;"},
        {"unreadable item", {range(Out + "," + item("servers/x"), 7)}, "bad servers/x;all to 7:1;"},
        {"unreadable answer", {answer("{"), range(Out, 7)}, "bad store;lost;back;all to 7:1;"},
    };
    for (const Case &Each : Table) {
      const SystemClock Time;
      SeededRandom Random(1);
      Keeper Seen;
      StoreStandin Store(Each.Script);
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      Client.activate(Seen, 0);
      runUntil([&] { return Seen.Text.size() >= Each.Expected.size(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Expected, Seen.Text);
    }
  }

  /// Guards against calls that ask for something else than the pages of the platform say.
  void calls() {
    const SystemClock Time;
    SeededRandom Random(1);
    Keeper Seen;
    StoreStandin Store({range(item("op/a b"), 7, true), range(item("op/c"), 8), events("", 9)});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Seen, 0);
    CPPUNIT_ASSERT(runUntil([&] { return Store.Calls.size() == 4; }));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-range?pathPrefix=&allowStale=1"), Store.call(0));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-range?pathPrefix=&allowStale=1&after=op%2Fa%20b"),
                         Store.call(1));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-watch?pathPrefix=&after=7&waitMs=10000"),
                         Store.call(2));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-watch?pathPrefix=&after=9&waitMs=10000"),
                         Store.call(3));
  }

  /// Guards against a reader that lists the old state again and again, because the cheap listing is
  /// older than the history that the store keeps.
  void listsAnewAfterLostHistory() {
    const SystemClock Time;
    SeededRandom Random(1);
    Keeper Seen;
    StoreStandin Store({range("", 7), answer("", "410 Gone"), range("", 20), events("", 20)});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Seen, 0);
    CPPUNIT_ASSERT(runUntil([&] { return Store.Calls.size() >= 4; }));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /-/kv-range?pathPrefix="), Store.call(2));
  }

  /// Guards against a reader that lists everything again although it knows most, and one that goes
  /// on after it was stopped.
  void resumesAndStops() {
    const SystemClock Time;
    SeededRandom Random(1);
    Keeper Seen;
    StoreStandin Store({events(item("op/evacuate/a"), 50)});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Seen, 42);
    CPPUNIT_ASSERT(runUntil([&] { return !Seen.Text.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("since 42 to 50:1;"), Seen.Text);
    Client.deactivate();
    runPending();
    CPPUNIT_ASSERT(Store.Calls.size() <= 2);
    const std::size_t Before = Store.Calls.size();
    Store.Script.resize(Before, answer("", "503 Busy"));
    Store.Script.push_back(events("", 60));
    Client.activate(Seen, 55);
    CPPUNIT_ASSERT(runUntil([&] { return Store.Calls.size() > Before + 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("since 42 to 50:1;unchanged 60;"), Seen.Text);
  }

  /// Guards against a reader that waits for the answer of a silent store as long as for a change: a
  /// region had an old configuration until 3.9 s after the store was back (shyrynkol-press
  /// hunt-8fbd-31).
  void returnOfASilentStore() {
    const SystemClock Time;
    SeededRandom Random(1);
    Keeper Seen;
    StoreStandin Store({});
    StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
    Client.activate(Seen, 42);
    // The store is silent for the first call, and answers the second.
    CPPUNIT_ASSERT(runUntil([&] { return Store.Calls.size() == 1; }));
    Store.Script = {"", events(item("op/evacuate/a"), 50)};
    CPPUNIT_ASSERT(runUntil([&] { return Seen.Text == "lost;back;since 42 to 50:1;"; }));
  }

  /// Guards against a reader that takes the store for alive because its watch is silent: its region
  /// went on with an old configuration for three seconds (cocomisur-gw scale-2, seed 542791531110).
  void silentStores() {
    for (const char *Bad : {"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}) {
      const SystemClock Time;
      SeededRandom Random(1);
      Keeper Seen;
      StoreStandin Store({range("", 7)});
      StoreClient Client({"127.0.0.1", Store.Server.Port}, Time, Random);
      Client.activate(Seen, 0);
      CPPUNIT_ASSERT(runUntil([&] { return Store.Checks == 1; }));
      CPPUNIT_ASSERT_EQUAL(std::string("all to 7:0;"), Seen.Text);
      Store.CheckAnswer = Bad;
      CPPUNIT_ASSERT(runUntil([&] { return Seen.Text == "all to 7:0;lost;"; }));
      CPPUNIT_ASSERT(runUntil([&] { return Store.Calls.size() >= 3; }));
      CPPUNIT_ASSERT_MESSAGE("asked in such a way that it answers at once",
                             Store.Calls.back().find("waitMs=1 ") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
