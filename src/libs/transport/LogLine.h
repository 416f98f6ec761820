#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilsaddle {

enum class LogLevel { Debug, Info, Warning, Error };

/// Field names and values of a log line in their order. Names must be literals that need no
/// escaping.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Formats a JSON object on one line: time (UTC, with microseconds), level, event and the fields.
/// All values are strings; invalid UTF-8 in them is replaced. Caches the text of the last second
/// and is therefore not thread-safe.
std::string formatLogLine(std::int64_t UnixMicroseconds, LogLevel Level, std::string_view Event,
                          const LogFields &Fields);

} // namespace anvilsaddle
