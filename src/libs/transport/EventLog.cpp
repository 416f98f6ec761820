#include "transport/EventLog.h"

#include "transport/LogBuffer.h"

#include <easylogging++.h>
#include <glib.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace anvilsaddle {

namespace {

LogBuffer &outputBuffer() {
  static LogBuffer Result(STDOUT_FILENO);
  return Result;
}

/// Replaces the output of the logging library, which may block.
class BufferedDispatch final : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    const el::LogMessage &Message = *Data->logMessage();
    outputBuffer().add(Message.message());
    if (Message.level() == el::Level::Warning || Message.level() == el::Level::Error) {
      outputBuffer().flush();
    }
  }
};

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
  el::Loggers::reconfigureLogger("default", Settings);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BufferedDispatch>("BufferedDispatch");
}

void flushLog() { outputBuffer().flush(); }

std::uint64_t droppedLogLines() { return outputBuffer().dropped(); }

void logEvent(LogLevel Level, std::string_view Event, const LogFields &Fields) {
  const std::string Line = formatLogLine(g_get_real_time(), Level, Event, Fields);
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line;
    break;
  case LogLevel::Info:
    LOG(INFO) << Line;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    break;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    break;
  }
}

} // namespace anvilsaddle
