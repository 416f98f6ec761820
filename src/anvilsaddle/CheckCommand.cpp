#include "CheckCommand.h"

#include "SettingsChecker.h"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

nlohmann::json toJson(const Findings &Problems, const char *Severity) {
  nlohmann::json Result = nlohmann::json::array();
  for (const Finding &Each : Problems) {
    Result.push_back({{"path", Each.Path},
                      {"line", Each.Line},
                      {"column", Each.Column},
                      {"severity", Severity},
                      {"message", Each.Message}});
  }
  return Result;
}

} // namespace

void CheckCommand::addTo(CLI::App &App) {
  this->Declared = App.add_subcommand(
      "check",
      "Check settings offline and show all findings together. A directory holds platform.toml, "
      "teams/<team>.toml and optionally vms.json; references between its files are checked too.");
  this->Declared->add_option("path", this->Paths, "Files or directories")
      ->required()
      ->check(CLI::ExistingPath);
  this->Declared->add_flag("--daemon", this->Daemon,
                           "The files are local settings of daemons, not published settings");
  this->Declared->add_flag("--strict", this->Strict, "Exit with 1 if there are only warnings");
  this->Declared->add_flag("--json", this->Json, "Write JSON instead of lines");
}

leaf::result<ExitCode> CheckCommand::run(std::ostream &Out) {
  SettingsChecker Checker;
  for (const std::string &Path : this->Paths) {
    if (this->Daemon) {
      Checker.checkDaemonSettings(Path);
    } else {
      Checker.checkPublished(Path);
    }
  }
  if (this->Json) {
    nlohmann::json All = toJson(Checker.problems(), "error");
    for (auto &Each : toJson(Checker.warnings(), "warning")) {
      All.push_back(std::move(Each));
    }
    Out << All.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  } else {
    for (const Finding &Each : Checker.problems()) {
      Out << toString(Each) << '\n';
    }
    for (Finding Each : Checker.warnings()) {
      Each.Message = "warning: " + Each.Message;
      Out << toString(Each) << '\n';
    }
  }
  const bool Bad = !Checker.problems().empty() || (this->Strict && !Checker.warnings().empty());
  return Bad ? ExitCode::Findings : ExitCode::Fine;
}

} // namespace anvilsaddle
