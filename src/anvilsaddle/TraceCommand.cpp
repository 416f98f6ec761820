#include "TraceCommand.h"

#include "RequestTrace.h"
#include "TextTable.h"
#include "state/TextFile.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

/// Formats a duration in milliseconds with three decimals.
std::string formatMilliseconds(std::int64_t Microseconds) {
  const std::string Fraction = std::to_string(1000 + Microseconds % 1000).substr(1);
  return std::to_string(Microseconds / 1000) + "." + Fraction;
}

std::string formatFields(const TraceEvent &Event) {
  std::string Result;
  for (const auto &[Name, Value] : Event.Fields) {
    Result += Result.empty() ? "" : " ";
    Result += Name;
    Result += "=";
    Result += Value;
  }
  return Result;
}

} // namespace

void TraceCommand::addTo(CLI::App &App) {
  this->Subcommand = App.add_subcommand(
      "trace",
      "Show the log events of one request in causal order, corrected for clock differences");
  this->Subcommand->add_option("request", this->Request, "Request id")->required();
  this->Subcommand->add_option("logs", this->Paths, "Log files, one per daemon")
      ->required()
      ->check(CLI::ExistingFile);
  this->Subcommand->add_flag("--json", this->AsJson,
                             "Write one JSON object per line instead of a table");
}

leaf::result<ExitCode> TraceCommand::run(std::ostream &Out) {
  if (this->Request.empty()) {
    return leaf::new_error(ToolError{ExitCode::Usage, "the request id is empty"});
  }
  std::vector<std::vector<TraceEvent>> BySource;
  std::size_t UnreadableLines = 0;
  for (const std::string &Path : this->Paths) {
    const auto Text = readTextFile(Path);
    if (!Text) {
      return leaf::new_error(ToolError{ExitCode::Usage, "cannot read " + Path});
    }
    BySource.push_back(parseTraceEvents(*Text, Path, this->Request, UnreadableLines));
  }
  this->write(Out, mergeTraces(std::move(BySource)));
  if (UnreadableLines > 0) {
    Out << UnreadableLines << " lines with the id could not be read\n";
  }
  return ExitCode::Success;
}

void TraceCommand::write(std::ostream &Out, const std::vector<TraceEvent> &Events) const {
  if (Events.empty()) {
    Out << "no line of these logs has the id " << this->Request << '\n';
    return;
  }
  const std::int64_t Start = Events.front().UnixMicroseconds;
  TextTable Table({"MS", "LOG", "EVENT", "DETAILS"});
  for (const TraceEvent &Each : Events) {
    if (!this->AsJson) {
      Table.add({formatMilliseconds(Each.UnixMicroseconds - Start), Each.Source, Each.Event,
                 formatFields(Each)});
      continue;
    }
    nlohmann::ordered_json Line = {
        {"ms", static_cast<double>(Each.UnixMicroseconds - Start) / 1000},
        {"log", Each.Source},
        {"event", Each.Event}};
    for (const auto &[Name, Value] : Each.Fields) {
      Line[Name] = Value;
    }
    Out << Line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << '\n';
  }
  if (!this->AsJson) {
    Table.write(Out);
  }
}

} // namespace anvilsaddle
