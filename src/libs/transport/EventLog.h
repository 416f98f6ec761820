#pragma once

#include "protocol/LogLineCounts.h"
#include "transport/LogLine.h"

#include <string_view>

namespace anvilsaddle {

/// Configures logging to standard output as JSON lines. Must be called once before logEvent().
/// Precondition: `LowestLevel` is debug, info, warning or error.
void configureLog(std::string_view LowestLevel);

/// Logs one line with time, level, event name and fields. Fields must not contain request content.
/// Never blocks: lines stay in a bounded buffer until flushLog() or the next warning or error.
/// Lines that do not fit into the buffer are dropped and counted, first those of debug and info
/// level: they are of importance `Detail`, warnings and errors of importance `State`. Not
/// thread-safe.
void logEvent(LogLevel Level, std::string_view Event, const LogFields &Fields = {});

/// Logs a line of info level that is of importance `State`: it tells that the state of the entry
/// has changed, and must not be displaced by lines about single requests. Not thread-safe.
void logStateChange(std::string_view Event, const LogFields &Fields = {});

/// Writes as many buffered lines as standard output accepts without blocking, then logs
/// `log_lines_dropped` if lines were dropped and there is room again. Not thread-safe.
void flushLog();

/// Returns the numbers of lines dropped since the start of the process. Not thread-safe.
const LogLineCounts &droppedLogLines();

} // namespace anvilsaddle
