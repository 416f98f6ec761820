#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Log event of a request. Value type.
struct TraceEvent {
  /// According to the clock of the entry that logged the event.
  std::int64_t UnixMicroseconds = 0;
  /// Log file that contains the event.
  std::string Source;
  std::string Event;
  /// All other fields in their order in the log, without the request id and the level.
  std::vector<std::pair<std::string, std::string>> Fields;

  auto operator<=>(const TraceEvent &) const = default;
};

/// Parses the log lines that belong to a request. Skips text in front of the JSON of a line. Skips
/// lines of the request without a valid JSON object or time and adds their number to
/// `UnreadableLines`.
std::vector<TraceEvent> parseTraceEvents(const std::string &Text, const std::string &Source,
                                         const std::string &Request, std::size_t &UnreadableLines);

/// Merges the events of several entries in causal order. The clocks of entries differ, but the
/// events of an entry that got the forwarded request happen between `forwarded` and the end of that
/// attempt at the forwarding entry. If its timestamps lie outside, they are shifted into that
/// interval. The events of one entry keep their order.
std::vector<TraceEvent> mergeTraces(std::vector<std::vector<TraceEvent>> BySource);

} // namespace anvilsaddle
