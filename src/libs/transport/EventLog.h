#pragma once

#include "transport/LogLine.h"

#include <cstdint>
#include <string_view>

namespace anvilsaddle {

/// Configures logging to standard output as JSON lines. Must be called once before logEvent().
/// Precondition: `LowestLevel` is debug, info, warning or error.
void configureLog(std::string_view LowestLevel);

/// Logs one line with time, level, event name and fields. Fields must not contain request content.
/// Never blocks: lines stay in a bounded buffer until flushLog() or the next warning or error.
/// Lines that do not fit into the buffer are dropped and counted. Not thread-safe.
void logEvent(LogLevel Level, std::string_view Event, const LogFields &Fields = {});

/// Writes as many buffered lines as standard output accepts without blocking. Not thread-safe.
void flushLog();

/// Returns the number of lines dropped since the start of the process. Not thread-safe.
std::uint64_t droppedLogLines();

} // namespace anvilsaddle
