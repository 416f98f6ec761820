#include "CheckCommand.h"

#include "protocol/DaemonSettings.h"
#include "state/TextFile.h"

#include <ostream>
#include <variant>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

Diagnostics checkFile(const std::string &Path) {
  const auto Text = readTextFile(Path);
  if (!Text) {
    return {{Path, 0, 0, "cannot read the file"}};
  }
  const auto Parsed = readDaemonSettings(*Text, Path);
  const auto *Errors = std::get_if<Diagnostics>(&Parsed);
  return Errors ? *Errors : Diagnostics();
}

nlohmann::json toJson(const Diagnostics &Errors) {
  nlohmann::json Result = nlohmann::json::array();
  for (const Diagnostic &Each : Errors) {
    Result.push_back({{"path", Each.Path},
                      {"line", Each.Line},
                      {"column", Each.Column},
                      {"message", Each.Message}});
  }
  return Result;
}

} // namespace

void CheckCommand::addTo(CLI::App &App) {
  this->Subcommand = App.add_subcommand(
      "check", "Check settings files of daemons offline and report all errors at once");
  this->Subcommand->add_option("path", this->Paths, "Settings files (TOML)")
      ->required()
      ->check(CLI::ExistingFile);
  this->Subcommand->add_flag("--json", this->AsJson, "Write JSON instead of lines");
}

leaf::result<ExitCode> CheckCommand::run(std::ostream &Out) {
  Diagnostics AllErrors;
  for (const std::string &Path : this->Paths) {
    const Diagnostics FileErrors = checkFile(Path);
    AllErrors.insert(AllErrors.end(), FileErrors.begin(), FileErrors.end());
  }
  if (this->AsJson) {
    Out << toJson(AllErrors).dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  } else {
    for (const Diagnostic &Each : AllErrors) {
      Out << toString(Each) << '\n';
    }
  }
  return AllErrors.empty() ? ExitCode::Success : ExitCode::Diagnostics;
}

} // namespace anvilsaddle
