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
  const auto *Problems = std::get_if<Diagnostics>(&Parsed);
  return Problems ? *Problems : Diagnostics();
}

nlohmann::json toJson(const Diagnostics &Problems) {
  nlohmann::json Result = nlohmann::json::array();
  for (const Diagnostic &Each : Problems) {
    Result.push_back({{"path", Each.Path},
                      {"line", Each.Line},
                      {"column", Each.Column},
                      {"message", Each.Message}});
  }
  return Result;
}

} // namespace

void CheckCommand::addTo(CLI::App &App) {
  this->Declared = App.add_subcommand(
      "check", "Check local settings of daemons offline and show all findings together");
  this->Declared->add_option("path", this->Paths, "Files")->required()->check(CLI::ExistingFile);
  this->Declared->add_flag("--json", this->Json, "Write JSON instead of lines");
}

leaf::result<ExitCode> CheckCommand::run(std::ostream &Out) {
  Diagnostics All;
  for (const std::string &Path : this->Paths) {
    const Diagnostics Found = checkFile(Path);
    All.insert(All.end(), Found.begin(), Found.end());
  }
  if (this->Json) {
    Out << toJson(All).dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  } else {
    for (const Diagnostic &Each : All) {
      Out << toString(Each) << '\n';
    }
  }
  return All.empty() ? ExitCode::Fine : ExitCode::Diagnostics;
}

} // namespace anvilsaddle
