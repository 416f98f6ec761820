#include "transport/EventLog.h"

#include "transport/LogBuffer.h"

#include <optional>
#include <string>

#include <easylogging++.h>
#include <glib.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace anvilsaddle {

namespace {

/// Logger of the lines of info level that tell about changes of state. The other lines use the
/// default logger.
constexpr const char *StateLogger = "state";

LogBuffer &outputBuffer() {
  static LogBuffer Result(STDOUT_FILENO);
  return Result;
}

LogImportance importanceOf(const el::LogMessage &Message) {
  const bool IsProblem =
      Message.level() == el::Level::Warning || Message.level() == el::Level::Error;
  const bool IsStateChange = Message.logger()->id() == StateLogger;
  return IsProblem || IsStateChange ? LogImportance::State : LogImportance::Detail;
}

/// Replaces the output of the logging library, which may block.
class BufferedDispatch final : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    const el::LogMessage &Message = *Data->logMessage();
    outputBuffer().add(Message.message(), importanceOf(Message));
  }
};

std::string formatLine(LogLevel Level, std::string_view Event, const LogFields &Fields) {
  return formatLogLine(g_get_real_time(), Level, Event, Fields);
}

} // namespace

void configureLog(std::string_view LowestLevel) {
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::Format, "%msg");
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  const bool IsInfoDisabled = LowestLevel == "warning" || LowestLevel == "error";
  Settings.set(el::Level::Debug, el::ConfigurationType::Enabled,
               LowestLevel == "debug" ? "true" : "false");
  Settings.set(el::Level::Info, el::ConfigurationType::Enabled, IsInfoDisabled ? "false" : "true");
  Settings.set(el::Level::Warning, el::ConfigurationType::Enabled,
               LowestLevel == "error" ? "false" : "true");
  el::Loggers::getLogger(StateLogger);
  el::Loggers::reconfigureAllLoggers(Settings);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BufferedDispatch>("BufferedDispatch");
}

void flushLog() {
  outputBuffer().flush();
  const std::optional<LogLineCounts> Dropped = outputBuffer().takeGap();
  if (Dropped) {
    logEvent(
        LogLevel::Warning, "log_lines_dropped",
        {{"detail", std::to_string(Dropped->Detail)}, {"state", std::to_string(Dropped->State)}});
  }
}

const LogLineCounts &droppedLogLines() { return outputBuffer().dropped(); }

void logEvent(LogLevel Level, std::string_view Event, const LogFields &Fields) {
  const std::string Line = formatLine(Level, Event, Fields);
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line;
    break;
  case LogLevel::Info:
    LOG(INFO) << Line;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    flushLog();
    break;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    flushLog();
    break;
  }
}

void logStateChange(std::string_view Event, const LogFields &Fields) {
  // Registers the logger if configureLog() was not called.
  el::Loggers::getLogger(StateLogger);
  CLOG(INFO, StateLogger) << formatLine(LogLevel::Info, Event, Fields);
}

} // namespace anvilsaddle
