#include "transport/LogLine.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <glib.h>
#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1000000;
/// Space reserved for time, level and event name, and for each field in addition to its value.
constexpr std::size_t HeaderBytes = 96;
constexpr std::size_t FieldOverheadBytes = 24;

const char *levelName(LogLevel Level) {
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

/// Formats the date and time of a second. Many lines are logged in the same second, so the last
/// text is cached.
const std::string &formatSecond(std::int64_t UnixSeconds) {
  static std::int64_t CachedSecond = -1;
  static std::string CachedText;
  if (UnixSeconds != CachedSecond) {
    GDateTime *DateTime = g_date_time_new_from_unix_utc(UnixSeconds);
    gchar *Text = g_date_time_format(DateTime, "%Y-%m-%dT%H:%M:%S");
    CachedText = Text;
    CachedSecond = UnixSeconds;
    g_free(Text);
    g_date_time_unref(DateTime);
  }
  return CachedText;
}

bool needsNoEscaping(char Byte) {
  return Byte >= ' ' && Byte <= '~' && Byte != '"' && Byte != '\\';
}

void appendValue(std::string &Line, std::string_view Value) {
  if (std::all_of(Value.begin(), Value.end(), needsNoEscaping)) {
    Line += '"';
    Line += Value;
    Line += '"';
    return;
  }
  // Invalid UTF-8 from external input is replaced, so that each line remains valid JSON.
  Line += nlohmann::json(std::string(Value))
              .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void appendField(std::string &Line, std::string_view Name, std::string_view Value) {
  Line += ",\"";
  Line += Name;
  Line += "\":";
  appendValue(Line, Value);
}

} // namespace

std::string formatLogLine(std::int64_t UnixMicroseconds, LogLevel Level, std::string_view Event,
                          const LogFields &Fields) {
  std::size_t Size = HeaderBytes;
  for (const auto &[Name, Value] : Fields) {
    Size += FieldOverheadBytes + Value.size();
  }
  std::string Line;
  Line.reserve(Size);
  std::array<char, 16> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%06dZ",
                static_cast<int>(UnixMicroseconds % MicrosecondsPerSecond));
  Line += "{\"time\":\"";
  Line += formatSecond(UnixMicroseconds / MicrosecondsPerSecond);
  Line += Fraction.data();
  Line += '"';
  appendField(Line, "level", levelName(Level));
  appendField(Line, "event", Event);
  for (const auto &[Name, Value] : Fields) {
    appendField(Line, Name, Value);
  }
  Line += '}';
  return Line;
}

} // namespace anvilsaddle
