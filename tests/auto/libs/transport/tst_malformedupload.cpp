#include "Property.h"
#include "ProxyBench.h"

#include <string>

using namespace anvilsaddle;

/// Uploads whose chunks are malformed. A program of its own, because it is in KNOWN-RED.txt.
class MalformedUploadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedUploadTest);
  CPPUNIT_TEST(malformedChunkSize);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an upload that is cut off at a malformed chunk and looks whole to the target.
  void malformedChunkSize() {
    ScriptedServer Target([&](RawConnection &Connection, int) {
      Connection.OnData = [&Connection] {
        if (Connection.Received.ends_with("0\r\n\r\n")) {
          Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
      };
      Connection.OnData();
    });
    ProxyBench Bench(Target.Port);
    const auto Caller = RawConnection::connect(Bench.Port);
    Caller->send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nabc\r\nzz\r\n\r\n");
    CPPUNIT_ASSERT(runUntil([&] { return Caller->Closed; }));
    CPPUNIT_ASSERT_MESSAGE(Caller->Received, !Caller->Received.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Target.Connections.empty() ||
                   !Target.Connections.front()->Received.ends_with("0\r\n\r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedUploadTest);
