#include "TargetsCommand.h"

#include "TextTable.h"

#include <ostream>

namespace anvilsaddle {

namespace leaf = boost::leaf;

void TargetsCommand::addTo(CLI::App &App) {
  this->Declared =
      App.add_subcommand("targets", "Show the targets that a daemon sends to and their limits");
  this->Daemon.addTo(*this->Declared, "admin");
}

leaf::result<ExitCode> TargetsCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Targets, this->Daemon.ask("/admin/targets"));
  if (this->Daemon.Json) {
    Out << Targets.dump(2) << '\n';
    return ExitCode::Fine;
  }
  TextTable Table({"TARGET", "GROUP", "SLOTS", "LIMIT", "IN FLIGHT", "BASELINE (us)"});
  for (const auto &Each : Targets) {
    Table.add({fieldText(Each, "target"), fieldText(Each, "group"), fieldText(Each, "slots"),
               fieldText(Each, "limit"), fieldText(Each, "in_flight"),
               fieldText(Each, "baseline_us")});
  }
  Table.write(Out);
  return ExitCode::Fine;
}

} // namespace anvilsaddle
