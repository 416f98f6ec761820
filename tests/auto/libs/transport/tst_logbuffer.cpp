#include "Property.h"
#include "transport/LogBuffer.h"

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace anvilsaddle;

class LogBufferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogBufferTest);
  CPPUNIT_TEST(slowReadersDoNotBlock);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a process that blocks because nobody reads its log, and against unbounded
  /// memory use of the log.
  void slowReadersDoNotBlock() {
    std::array<int, 2> Pipe{};
    CPPUNIT_ASSERT_EQUAL(0, pipe(Pipe.data()));
    LogBuffer Log(Pipe[1], 1000);
    std::size_t AddedLines = 0;
    const std::string Line(99, 'x');
    while (Log.dropped() == 0 && AddedLines < 100'000) {
      Log.add(Line);
      Log.flush();
      ++AddedLines;
    }
    CPPUNIT_ASSERT(Log.dropped() > 0);
    CPPUNIT_ASSERT(Log.size() <= 1000);
    std::array<char, 65536> ReadBytes{};
    CPPUNIT_ASSERT(read(Pipe[0], ReadBytes.data(), ReadBytes.size()) > 0);
    Log.flush();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Log.size());
    close(Pipe[0]);
    close(Pipe[1]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogBufferTest);
