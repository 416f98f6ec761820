#include "Property.h"
#include "transport/LogBuffer.h"

#include <array>
#include <cstdint>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace anvilsaddle;

namespace {

constexpr std::size_t Capacity = 1000;

/// Pipe whose reader is slow: it reads only when read() is called.
class SlowPipe {
public:
  SlowPipe() { CPPUNIT_ASSERT_EQUAL(0, pipe2(this->Ends.data(), O_NONBLOCK)); }
  ~SlowPipe() {
    close(this->Ends[0]);
    close(this->Ends[1]);
  }
  SlowPipe(const SlowPipe &) = delete;
  SlowPipe &operator=(const SlowPipe &) = delete;

  int writeEnd() const { return this->Ends[1]; }

  /// Returns everything that the pipe holds.
  std::string read() const {
    std::string Result;
    std::array<char, 65536> Bytes{};
    for (ssize_t Count = 1; Count > 0;) {
      Count = ::read(this->Ends[0], Bytes.data(), Bytes.size());
      Result.append(Bytes.data(), Count > 0 ? static_cast<std::size_t>(Count) : 0);
    }
    return Result;
  }

private:
  std::array<int, 2> Ends{};
};

/// Adds lines until one is dropped.
void flood(LogBuffer &Log, std::size_t LineBytes, LogImportance Importance) {
  const std::string Line(LineBytes, 'x');
  const std::uint64_t DroppedBefore = Log.dropped().total();
  for (std::size_t Added = 0; Log.dropped().total() == DroppedBefore && Added < 100'000; ++Added) {
    Log.add(Line, Importance);
  }
  CPPUNIT_ASSERT_EQUAL(DroppedBefore + 1, Log.dropped().total());
}

} // namespace

class LogBufferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogBufferTest);
  CPPUNIT_TEST(slowReadersDoNotBlock);
  CPPUNIT_TEST(floodsKeepChangesOfState);
  CPPUNIT_TEST(gapsAreReportedOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a process that blocks because nobody reads its log, and against unbounded
  /// memory use of the log.
  void slowReadersDoNotBlock() {
    for (const LogImportance Importance : {LogImportance::Detail, LogImportance::State}) {
      const SlowPipe Pipe;
      LogBuffer Log(Pipe.writeEnd(), Capacity);
      std::size_t AddedLines = 0;
      const std::string Line(99, 'x');
      while (Log.dropped().total() == 0 && AddedLines < 100'000) {
        Log.add(Line, Importance);
        Log.flush();
        ++AddedLines;
      }
      CPPUNIT_ASSERT(Log.dropped().total() > 0);
      CPPUNIT_ASSERT(Log.size() <= Capacity);
      CPPUNIT_ASSERT(!Pipe.read().empty());
      Log.flush();
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Log.size());
    }
  }

  /// Guards against a log without the changes of state because lines about requests filled it, and
  /// against one that grows with the changes of state.
  void floodsKeepChangesOfState() {
    struct Row {
      std::size_t FloodLineBytes;
      LogImportance Flood;
      LogImportance Following;
      bool IsFollowingKept;
    };
    const Row Table[] = {
        {9, LogImportance::Detail, LogImportance::State, true},
        {99, LogImportance::Detail, LogImportance::State, true},
        {249, LogImportance::Detail, LogImportance::State, true},
        {99, LogImportance::Detail, LogImportance::Detail, false},
        {99, LogImportance::State, LogImportance::State, false},
        {99, LogImportance::State, LogImportance::Detail, false},
    };
    const std::string Following(200, 's');
    for (const Row &Each : Table) {
      const SlowPipe Pipe;
      LogBuffer Log(Pipe.writeEnd(), Capacity);
      flood(Log, Each.FloodLineBytes, Each.Flood);
      Log.add(Following, Each.Following);
      CPPUNIT_ASSERT(Log.size() <= Capacity);
      Log.flush();
      const bool IsKept = Pipe.read().find(Following + '\n') != std::string::npos;
      CPPUNIT_ASSERT_EQUAL(Each.IsFollowingKept, IsKept);
      LogLineCounts Expected;
      Expected.add(Each.Flood);
      if (!Each.IsFollowingKept) {
        Expected.add(Each.Following);
      }
      CPPUNIT_ASSERT(Expected == Log.dropped());
    }
  }

  /// Guards against logs whose gaps their readers can't see, and against lines about gaps that
  /// take the room of others.
  void gapsAreReportedOnce() {
    const SlowPipe Pipe;
    LogBuffer Log(Pipe.writeEnd(), Capacity);
    CPPUNIT_ASSERT(!Log.takeGap());
    flood(Log, 9, LogImportance::Detail);
    flood(Log, 9, LogImportance::State);
    CPPUNIT_ASSERT(!Log.takeGap());
    Log.flush();
    const LogLineCounts OneOfEach{1, 1};
    CPPUNIT_ASSERT(OneOfEach == Log.takeGap());
    CPPUNIT_ASSERT(!Log.takeGap());
    flood(Log, 9, LogImportance::Detail);
    Log.flush();
    const LogLineCounts OneDetail{1, 0};
    CPPUNIT_ASSERT(OneDetail == Log.takeGap());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Log.dropped().total());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogBufferTest);
