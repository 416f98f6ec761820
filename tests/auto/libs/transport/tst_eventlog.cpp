#include "Property.h"
#include "transport/EventLog.h"

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace anvilsaddle;

namespace {

/// Redirects standard output to a pipe that nobody reads before stop().
class CapturedOutput {
public:
  CapturedOutput() : Original(dup(STDOUT_FILENO)) {
    CPPUNIT_ASSERT_EQUAL(0, pipe2(this->Pipe.data(), O_NONBLOCK));
    dup2(this->Pipe[1], STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(this->Original, STDOUT_FILENO);
    close(this->Original);
    close(this->Pipe[0]);
    close(this->Pipe[1]);
  }
  CapturedOutput(const CapturedOutput &) = delete;
  CapturedOutput &operator=(const CapturedOutput &) = delete;

  /// Returns all lines, including those that the log has buffered.
  std::string read() const {
    std::string Result;
    std::array<char, 65536> Bytes{};
    while (true) {
      flushLog();
      const ssize_t Count = ::read(this->Pipe[0], Bytes.data(), Bytes.size());
      if (Count <= 0) {
        return Result;
      }
      Result.append(Bytes.data(), static_cast<std::size_t>(Count));
    }
  }

private:
  int Original;
  std::array<int, 2> Pipe{};
};

/// More lines than the pipe and the buffer hold.
constexpr int FloodLines = 10'000;

} // namespace

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(changesOfStateNeedNoConfiguration);
  CPPUNIT_TEST(changesOfStateOutlastRequestLines);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against changes of state that are lost, with a complaint of the logging library, in
  /// programs that have not configured the log. Precondition: runs before configureLog().
  void changesOfStateNeedNoConfiguration() {
    const CapturedOutput Output;
    logStateChange("configuration_in_force", {{"version", "183"}});
    const std::string Text = Output.read();
    CPPUNIT_ASSERT(Text.find("configuration_in_force") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("not registered") == std::string::npos);
  }

  /// Guards against logs that lack the changes of state of an entry that is busy with refusals, and
  /// against gaps that a reader can't see.
  void changesOfStateOutlastRequestLines() {
    struct Row {
      const char *Level;
      bool IsChangeLogged;
    };
    const Row Table[] = {{"info", true}, {"warning", false}};
    for (const Row &Each : Table) {
      configureLog(Each.Level);
      const CapturedOutput Output;
      const LogLineCounts Before = droppedLogLines();
      for (int Index = 0; Index < FloodLines; ++Index) {
        logEvent(LogLevel::Info, "refused", {{"request", std::to_string(Index)}});
      }
      logStateChange("configuration_in_force", {{"version", "183"}});
      const LogLineCounts Dropped = droppedLogLines() - Before;
      const std::string Text = Output.read();
      CPPUNIT_ASSERT_EQUAL(Each.IsChangeLogged,
                           Text.find("configuration_in_force") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(Each.IsChangeLogged, Dropped.Detail > 0);
      const std::string Gap =
          R"("event":"log_lines_dropped","detail":")" + std::to_string(Dropped.Detail) + '"';
      CPPUNIT_ASSERT_EQUAL(Each.IsChangeLogged, Text.find(Gap) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);
