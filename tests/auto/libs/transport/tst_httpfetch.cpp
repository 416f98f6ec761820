#include "Loopback.h"
#include "Property.h"
#include "transport/ConnectionPool.h"
#include "transport/HttpFetch.h"
#include "transport/SystemClock.h"

#include <string>

using namespace anvilsaddle;
using namespace std::chrono_literals;

namespace {

constexpr guint TrickleIntervalMs = 50;

/// Sends one byte of a response body that never ends.
gboolean sendByte(gpointer Data) {
  static_cast<RawConnection *>(Data)->send("x");
  return G_SOURCE_CONTINUE;
}

} // namespace

class HttpFetchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpFetchTest);
  CPPUNIT_TEST(timeouts);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a fetch that starts over although bytes arrive, which adds load to a full link,
  /// and against one that waits for a silent server.
  void timeouts() {
    struct Case {
      const char *Name;
      std::string Response;
      bool Trickles;
      Duration Timeout;
      Duration IdleTimeout;
      std::string Reason;
    };
    const std::string Endless = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    const Case Table[] = {
        {"silent server", "", false, 60s, 30ms, "no bytes of the response arrive"},
        {"silent after the head", Endless, false, 60s, 30ms, "no bytes of the response arrive"},
        {"bytes arrive until the end", Endless, true, 2500ms, 2s, "response timeout"},
        {"complete", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, 60s, 60s, ""},
    };
    for (const Case &Each : Table) {
      guint Trickle = 0;
      ScriptedServer Server([&](RawConnection &Caller, int) {
        Caller.send(Each.Response);
        if (Each.Trickles) {
          Trickle = g_timeout_add(TrickleIntervalMs, sendByte, &Caller);
        }
      });
      SystemClock Time;
      ConnectionPool Connections(Time);
      std::optional<std::string> Reason;
      HttpFetch Fetch(Connections, [&Reason](const std::optional<HttpFetch::Result> &,
                                             const std::string &Text) { Reason = Text; });
      Fetch.start({"127.0.0.1", Server.Port}, "/", Each.Timeout, Each.IdleTimeout);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, runUntil([&] { return Reason.has_value(); }));
      g_clear_handle_id(&Trickle, g_source_remove);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Name, Each.Reason, *Reason);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFetchTest);
