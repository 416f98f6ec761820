#include "StatusCommand.h"

#include "TextTable.h"

#include <ostream>

namespace anvilsaddle {

namespace leaf = boost::leaf;

void StatusCommand::addTo(CLI::App &App) {
  this->Subcommand =
      App.add_subcommand("status", "Show the state of a daemon and the entries it knows");
  this->Daemon.addTo(*this->Subcommand, "operators");
}

leaf::result<ExitCode> StatusCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Status, this->Daemon.query("/status"));
  if (this->Daemon.AsJson) {
    Out << Status.dump(2) << '\n';
    return ExitCode::Success;
  }
  TextTable Fields({"FIELD", "VALUE"});
  for (const auto &[Key, Value] : Status.items()) {
    if (Key != "entries") {
      Fields.add({Key, fieldText(Status, Key)});
    }
  }
  Fields.write(Out);
  Out << '\n';
  TextTable Entries({"ENTRY", "FAILURE DOMAIN", "STATE"});
  for (const auto &Each : Status.value("entries", nlohmann::json::array())) {
    Entries.add(
        {fieldText(Each, "address"), fieldText(Each, "failure_domain"), fieldText(Each, "state")});
  }
  Entries.write(Out);
  return ExitCode::Success;
}

} // namespace anvilsaddle
