#include "transport/EventLog.h"

#include "transport/LogBuffer.h"

#include <easylogging++.h>
#include <glib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace anvilsaddle {

namespace {

LogBuffer &output() {
  static LogBuffer Result(STDOUT_FILENO);
  return Result;
}

/// Takes the place of the library's own output, which may block.
class BufferedDispatch final : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    const el::LogMessage &Message = *Data->logMessage();
    output().add(Message.message());
    if (Message.level() == el::Level::Warning || Message.level() == el::Level::Error) {
      output().flush();
    }
  }
};

std::string currentTime() {
  GDateTime *Now = g_date_time_new_now_utc();
  gchar *Text = g_date_time_format(Now, "%Y-%m-%dT%H:%M:%S.%fZ");
  std::string Result(Text);
  g_free(Text);
  g_date_time_unref(Now);
  return Result;
}

const char *toText(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

} // namespace

void configureLog(std::string_view LowestLevel) {
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::Format, "%msg");
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  const bool HideInfo = LowestLevel == "warning" || LowestLevel == "error";
  Settings.set(el::Level::Debug, el::ConfigurationType::Enabled,
               LowestLevel == "debug" ? "true" : "false");
  Settings.set(el::Level::Info, el::ConfigurationType::Enabled, HideInfo ? "false" : "true");
  Settings.set(el::Level::Warning, el::ConfigurationType::Enabled,
               LowestLevel == "error" ? "false" : "true");
  el::Loggers::reconfigureLogger("default", Settings);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BufferedDispatch>("BufferedDispatch");
}

void flushLog() { output().flush(); }

std::uint64_t droppedLogLines() { return output().dropped(); }

void logEvent(LogLevel Level, std::string_view Event, const LogFields &Fields) {
  nlohmann::ordered_json Line = {
      {"time", currentTime()}, {"level", toText(Level)}, {"event", std::string(Event)}};
  for (const auto &[Name, Value] : Fields) {
    Line[Name] = Value;
  }
  // Invalid UTF-8 from outside is replaced, so that each line stays valid JSON.
  const std::string Text =
      Line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Text;
    break;
  case LogLevel::Info:
    LOG(INFO) << Text;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Text;
    break;
  case LogLevel::Error:
    LOG(ERROR) << Text;
    break;
  }
}

} // namespace anvilsaddle
