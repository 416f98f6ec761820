#pragma once

#include <map>
#include <string>
#include <string_view>

namespace anvilsaddle {

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets up logging to standard output as JSON lines. Call once before logEvent().
/// Precondition: the name is debug, info, warning or error.
void configureLog(std::string_view LowestLevel);

/// Writes one line with time, level, event name and fields. Fields must hold no request content.
/// Thread-safe after configureLog().
void logEvent(LogLevel Level, std::string_view Event,
              const std::map<std::string, std::string> &Fields = {});

} // namespace anvilsaddle
