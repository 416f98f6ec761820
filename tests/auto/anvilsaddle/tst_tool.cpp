#include "Property.h"
#include "TemporaryDirectory.h"
#include "Tool.h"
#include "transport/GlibPointers.h"

#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

using namespace anvilsaddle;

namespace {

/// Answers like a daemon, with fixed content. Keeps one request open forever at `/v1/entries` for
/// the credential `t.c.slow`.
class FakeDaemon {
public:
  FakeDaemon() : Server(soup_server_new("server-header", "fake ", nullptr)) {
    soup_server_add_handler(this->Server.get(), nullptr, onRequest, this, nullptr);
    CPPUNIT_ASSERT(
        soup_server_listen_local(this->Server.get(), 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
    GSList *Uris = soup_server_get_uris(this->Server.get());
    this->Address = "127.0.0.1:" + std::to_string(g_uri_get_port(static_cast<GUri *>(Uris->data)));
    g_slist_free_full(Uris, [](gpointer Uri) { g_uri_unref(static_cast<GUri *>(Uri)); });
  }

  std::string Address;
  std::string LastQuery;

private:
  static void onRequest(SoupServer *, SoupServerMessage *Message, const char *Path, GHashTable *,
                        gpointer Data) {
    auto &Self = *static_cast<FakeDaemon *>(Data);
    const char *Query = g_uri_get_query(soup_server_message_get_uri(Message));
    Self.LastQuery = Query ? Query : "";
    const char *Credential = soup_message_headers_get_one(
        soup_server_message_get_request_headers(Message), "Authorization");
    const std::string Wanted(Path);
    if (Wanted == "/admin/status") {
      answer(Message, 200, R"({"vm":"entry-1","settings":{"platform":7},"findings":["f:1:2: x"]})");
    } else if (Wanted == "/admin/targets") {
      answer(Message, 200, R"([{"target":"a/s\u001b[2J","limit":3}])");
    } else if (Wanted == "/admin/audit") {
      answer(Message, 200, R"([{"sequence":5,"time_ms":1500,"what":"settings/platform"}])");
    } else if (Wanted == "/admin/explain") {
      answer(Message, 200,
             R"({"decision":"send","steps":[{"candidate":"g","result":"no","reason":"full"}]})");
    } else if (Credential && std::string(Credential) == "Bearer t.c.good") {
      answer(Message, 200, R"({"entries":["10.0.0.1:80"],"keep_ms":2000,"ticket":"k"})");
    } else if (Credential && std::string(Credential) == "Bearer t.c.slow") {
      soup_server_message_pause(Message);
    } else if (Credential && std::string(Credential) == "Bearer t.c.text") {
      answer(Message, 200, "no JSON");
    } else {
      answer(Message, 401, "unknown caller\n");
    }
  }

  static void answer(SoupServerMessage *Message, guint Status, const std::string &Body) {
    soup_server_message_set_status(Message, Status, nullptr);
    soup_server_message_set_response(Message, "application/json", SOUP_MEMORY_COPY, Body.data(),
                                     Body.size());
  }

  GObjectPointer<SoupServer> Server;
};

struct Run {
  int Exit = 0;
  std::string Out;
  std::string ErrorOut;
};

Run run(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), "anvilsaddle");
  std::vector<const char *> Pointers;
  Pointers.reserve(Arguments.size());
  for (const std::string &Each : Arguments) {
    Pointers.push_back(Each.c_str());
  }
  std::ostringstream Out;
  std::ostringstream ErrorOut;
  const int Exit = runTool(static_cast<int>(Pointers.size()), Pointers.data(), Out, ErrorOut);
  return {Exit, Out.str(), ErrorOut.str()};
}

} // namespace

class ToolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ToolTest);
  CPPUNIT_TEST(answersAndExitCodes);
  CPPUNIT_TEST(credentials);
  CPPUNIT_TEST(queriesAreEscaped);
  CPPUNIT_TEST(check);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against commands that fail with success, and against output without the content.
  void answersAndExitCodes() {
    FakeDaemon Daemon;
    const std::string &At = Daemon.Address;
    struct Case {
      std::vector<std::string> Arguments;
      int Exit;
      /// Expected in the output, or in the error output if the exit code is 2 to 4.
      std::vector<std::string> Texts;
    };
    const Case Table[] = {
        {{"--version"}, 0, {ANVILSADDLE_VERSION}},
        {{"--help"},
         0,
         {"check", "status", "targets", "audit", "explain", "entries", "Exit codes"}},
        {{"explain", "--help"}, 0, {"--customer", "--address", "--timeout", "--json"}},
        {{}, 2, {"subcommand"}},
        {{"status"}, 2, {"--address"}},
        {{"status", "-a", "localhost:1"}, 2, {"not <ip number>:<port>"}},
        {{"status", "-a", "127.0.0.1"}, 2, {"not <ip number>:<port>"}},
        {{"status", "-a", At, "-t", "0"}, 2, {"--timeout"}},
        {{"explain", "GET", "x", "-c", "t.c", "-a", At}, 2, {"must start with '/'"}},
        {{"explain", "GET", "/x", "-c", "t", "-a", At}, 2, {"not <team>.<customer>"}},
        {{"status", "-a", At}, 0, {"entry-1", "platform  7", "f:1:2: x"}},
        {{"status", "-a", At, "--json"}, 0, {R"("platform": 7)"}},
        {{"targets", "-a", At}, 0, {"TARGET", "a/s?[2J"}},
        {{"targets", "-a", At, "--json"}, 0, {R"("limit": 3)"}},
        {{"audit", "-a", At}, 0, {"1970-01-01T00:00:01.500Z  settings/platform"}},
        {{"audit", "-a", At, "--json"}, 0, {R"("sequence":5)"}},
        {{"explain", "GET", "/x", "-c", "t.c", "-a", At}, 0, {"send", "g          no      full"}},
        {{"entries", "-a", At, "--credential", "t.c.good"}, 0, {"10.0.0.1:80", "2000", "k"}},
        {{"entries", "-a", At, "--credential", "t.c.bad"}, 4, {"status 401: unknown caller"}},
        {{"entries", "-a", At, "--credential", "t.c.text"}, 3, {"not JSON"}},
        {{"entries", "-a", At, "--credential", "t.c.slow", "-t", "0.05"}, 3, {"within 50 ms"}},
        {{"status", "-a", "127.0.0.1:1"}, 3, {"cannot reach http://127.0.0.1:1"}},
    };
    for (const Case &Each : Table) {
      const Run Result = run(Each.Arguments);
      std::string Name;
      for (const std::string &Argument : Each.Arguments) {
        Name += Argument + " ";
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name + Result.ErrorOut, Each.Exit, Result.Exit);
      const std::string &Text = Each.Exit >= 2 ? Result.ErrorOut : Result.Out;
      for (const std::string &Expected : Each.Texts) {
        CPPUNIT_ASSERT_MESSAGE(Name + Text, Text.find(Expected) != std::string::npos);
      }
    }
  }

  /// Guards against a credential that can only be given where other users see it.
  void credentials() {
    FakeDaemon Daemon;
    const TemporaryDirectory Directory;
    const std::string File = Directory.write("credential", "t.c.good\n");
    CPPUNIT_ASSERT_EQUAL(0, run({"entries", "-a", Daemon.Address, "--credential-file", File}).Exit);
    CPPUNIT_ASSERT_EQUAL(2, run({"entries", "-a", Daemon.Address}).Exit);
    setenv("ANVILSADDLE_CREDENTIAL", "t.c.good", 1);
    CPPUNIT_ASSERT_EQUAL(0, run({"entries", "-a", Daemon.Address}).Exit);
    unsetenv("ANVILSADDLE_CREDENTIAL");
    CPPUNIT_ASSERT_EQUAL(
        2, run({"entries", "-a", Daemon.Address, "--credential", "a\r\nHost: x"}).Exit);
  }

  /// Guards against a path that changes the meaning of the question.
  void queriesAreEscaped() {
    FakeDaemon Daemon;
    run({"explain", "GET", "/a b&customer=x.y", "-c", "t.c", "-a", Daemon.Address});
    CPPUNIT_ASSERT_EQUAL(std::string("method=GET&path=%2Fa%20b%26customer%3Dx.y&customer=t.c"),
                         Daemon.LastQuery);
    run({"audit", "--after", "17", "-a", Daemon.Address});
    CPPUNIT_ASSERT_EQUAL(std::string("after=17"), Daemon.LastQuery);
  }

  /// Guards against a rollout that goes on although the check found something.
  void check() {
    const TemporaryDirectory Directory;
    Directory.write("platform.toml", "[[region]]\nname = \"n\"\n");
    const std::string Team =
        Directory.write("teams/t.toml", "[[customer]]\nname = \"c\"\nhome_regions = [\"m\"]\n");
    const std::string Bad = Directory.write("bad.toml", "a = 1\nb = 1\n");
    const Run Warned = run({"check", Directory.path()});
    CPPUNIT_ASSERT_EQUAL(0, Warned.Exit);
    CPPUNIT_ASSERT_EQUAL(Team + ":3:16: warning: unknown region 'm'\n", Warned.Out);
    CPPUNIT_ASSERT_EQUAL(1, run({"check", "--strict", Directory.path()}).Exit);
    CPPUNIT_ASSERT_EQUAL(2, run({"check", Directory.path("missing")}).Exit);
    const Run Found = run({"check", Team, Bad, "--json"});
    CPPUNIT_ASSERT_EQUAL(1, Found.Exit);
    const auto Parsed = nlohmann::json::parse(Found.Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Parsed.size());
    CPPUNIT_ASSERT(Parsed[1]["line"] == 2 && Parsed[1]["column"] == 1);
    CPPUNIT_ASSERT(Parsed[1]["severity"] == "error" && Parsed[1]["path"] == Bad);
    CPPUNIT_ASSERT_EQUAL(1, run({"check", "--daemon", Bad}).Exit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ToolTest);
