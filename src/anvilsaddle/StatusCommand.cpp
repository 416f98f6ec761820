#include "StatusCommand.h"

#include "TextTable.h"

#include <ostream>

namespace anvilsaddle {

namespace leaf = boost::leaf;

void StatusCommand::addTo(CLI::App &App) {
  this->Declared = App.add_subcommand("status", "Show the state of a daemon and its settings");
  this->Daemon.addTo(*this->Declared, "admin");
}

leaf::result<ExitCode> StatusCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Status, this->Daemon.ask("/admin/status"));
  if (this->Daemon.Json) {
    Out << Status.dump(2) << '\n';
    return ExitCode::Fine;
  }
  TextTable Fields({"FIELD", "VALUE"});
  TextTable Settings({"SETTINGS", "REVISION"});
  for (const auto &[Key, Value] : Status.items()) {
    if (Key != "settings" && Key != "findings" && Key != "peers") {
      Fields.add({Key, fieldText(Status, Key)});
    }
  }
  const auto Revisions = Status.value("settings", nlohmann::json::object());
  for (const auto &[Path, Revision] : Revisions.items()) {
    Settings.add({Path, Revision.dump()});
  }
  Fields.write(Out);
  Out << '\n';
  Settings.write(Out);
  TextTable Peers({"ENTRY", "REGION", "FAILURE DOMAIN", "STATE"});
  const auto Known = Status.value("peers", nlohmann::json::array());
  for (const auto &Each : Known) {
    Peers.add({fieldText(Each, "vm"), fieldText(Each, "region"), fieldText(Each, "failure_domain"),
               fieldText(Each, "state")});
  }
  if (!Known.empty()) {
    Out << '\n';
    Peers.write(Out);
  }
  TextTable Findings({"FINDINGS OF REFUSED SETTINGS"});
  const auto Problems = Status.value("findings", nlohmann::json::array());
  for (const auto &Each : Problems) {
    Findings.add({Each.is_string() ? Each.get<std::string>() : Each.dump()});
  }
  if (!Problems.empty()) {
    Out << '\n';
    Findings.write(Out);
  }
  return ExitCode::Fine;
}

} // namespace anvilsaddle
