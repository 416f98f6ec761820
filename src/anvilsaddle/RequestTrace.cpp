#include "RequestTrace.h"

#include <algorithm>
#include <optional>
#include <sstream>

#include <glib.h>
#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using Json = nlohmann::ordered_json;
using Events = std::vector<TraceEvent>;

std::optional<std::int64_t> parseTime(const std::string &Text) {
  GDateTime *DateTime = g_date_time_new_from_iso8601(Text.c_str(), nullptr);
  if (!DateTime) {
    return std::nullopt;
  }
  const std::int64_t Result =
      g_date_time_to_unix(DateTime) * G_USEC_PER_SEC + g_date_time_get_microsecond(DateTime);
  g_date_time_unref(DateTime);
  return Result;
}

std::string toText(const Json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::optional<TraceEvent> parseEvent(const Json &Line, const std::string &Source) {
  const auto Time = parseTime(Line.contains("time") ? toText(Line["time"]) : "");
  if (!Time) {
    return std::nullopt;
  }
  TraceEvent Result{*Time, Source, Line.contains("event") ? toText(Line["event"]) : "", {}};
  for (const auto &[Name, Value] : Line.items()) {
    if (Name != "time" && Name != "event" && Name != "request" && Name != "level") {
      Result.Fields.emplace_back(Name, toText(Value));
    }
  }
  return Result;
}

const TraceEvent *findEvent(const Events &Candidates, const std::string &Name) {
  const auto Found = std::find_if(Candidates.begin(), Candidates.end(),
                                  [&Name](const TraceEvent &Each) { return Each.Event == Name; });
  return Found == Candidates.end() ? nullptr : &*Found;
}

std::string fieldOf(const TraceEvent &Event, const std::string &Name) {
  for (const auto &[Key, Value] : Event.Fields) {
    if (Key == Name) {
      return Value;
    }
  }
  return {};
}

/// Time at which the attempt of a `forwarded` event ended, as logged by the same entry.
std::optional<std::int64_t> attemptEndTime(const Events &Origin, const TraceEvent &Forwarded) {
  for (const TraceEvent &Each : Origin) {
    const bool IsEnd = Each.Event == "attempt_ended" || Each.Event == "cancelled";
    if (IsEnd && fieldOf(Each, "attempt") == fieldOf(Forwarded, "attempt")) {
      return Each.UnixMicroseconds;
    }
  }
  return std::nullopt;
}

/// Clock correction that shifts the events of another entry between two times of the forwarding
/// entry.
std::int64_t clockCorrection(const Events &Other, std::int64_t Earliest,
                             std::optional<std::int64_t> Latest) {
  if (Other.front().UnixMicroseconds < Earliest) {
    return Earliest - Other.front().UnixMicroseconds;
  }
  if (Latest && Other.back().UnixMicroseconds >= *Latest) {
    return std::max(*Latest - 1 - Other.back().UnixMicroseconds,
                    Earliest - Other.front().UnixMicroseconds);
  }
  return 0;
}

} // namespace

std::vector<TraceEvent> parseTraceEvents(const std::string &Text, const std::string &Source,
                                         const std::string &Request, std::size_t &UnreadableLines) {
  Events Result;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Start = Line.find('{');
    if (Start == std::string::npos || Line.find(Request) == std::string::npos) {
      continue;
    }
    const Json Parsed = Json::parse(Line.substr(Start), nullptr, false);
    if (!Parsed.is_object()) {
      ++UnreadableLines;
      continue;
    }
    if (!Parsed.contains("request") || toText(Parsed["request"]) != Request) {
      continue;
    }
    auto Event = parseEvent(Parsed, Source);
    if (!Event) {
      ++UnreadableLines;
      continue;
    }
    Result.push_back(std::move(*Event));
  }
  return Result;
}

std::vector<TraceEvent> mergeTraces(std::vector<std::vector<TraceEvent>> BySource) {
  std::erase_if(BySource, [](const Events &Each) { return Each.empty(); });
  const auto Origin = std::find_if(BySource.begin(), BySource.end(), [](const Events &Each) {
    return findEvent(Each, "forwarded") != nullptr;
  });
  if (Origin != BySource.end()) {
    const TraceEvent Forwarded = *findEvent(*Origin, "forwarded");
    const auto Latest = attemptEndTime(*Origin, Forwarded);
    for (auto Other = BySource.begin(); Other != BySource.end(); ++Other) {
      const std::int64_t Correction =
          Other == Origin ? 0 : clockCorrection(*Other, Forwarded.UnixMicroseconds, Latest);
      for (TraceEvent &Each : *Other) {
        Each.UnixMicroseconds += Correction;
      }
    }
    std::iter_swap(BySource.begin(), Origin);
  }
  Events Result;
  for (Events &Each : BySource) {
    Result.insert(Result.end(), std::make_move_iterator(Each.begin()),
                  std::make_move_iterator(Each.end()));
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const TraceEvent &Left, const TraceEvent &Right) {
                     return Left.UnixMicroseconds < Right.UnixMicroseconds;
                   });
  return Result;
}

} // namespace anvilsaddle
