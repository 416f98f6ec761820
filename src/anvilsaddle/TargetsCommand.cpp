#include "TargetsCommand.h"

#include "TextTable.h"

#include <ostream>

namespace anvilsaddle {

namespace leaf = boost::leaf;

void TargetsCommand::addTo(CLI::App &App) {
  this->Subcommand =
      App.add_subcommand("targets", "Show the targets that a daemon knows and their load");
  this->Daemon.addTo(*this->Subcommand, "operators");
}

leaf::result<ExitCode> TargetsCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Targets, this->Daemon.query("/targets"));
  if (this->Daemon.AsJson) {
    Out << Targets.dump(2) << '\n';
    return ExitCode::Success;
  }
  TextTable Table({"TARGET", "SERVICE", "FAILURE DOMAIN", "STATE", "RUNNING", "WAITING", "SLOTS",
                   "SLOWDOWN", "AGE (s)", "LIMIT (1/s)", "PAUSE (s)"});
  for (const auto &Each : Targets) {
    Table.add({fieldText(Each, "target"), fieldText(Each, "service"),
               fieldText(Each, "failure_domain"), fieldText(Each, "state"),
               fieldText(Each, "running"), fieldText(Each, "waiting"), fieldText(Each, "slots"),
               fieldText(Each, "slowdown"), fieldText(Each, "report_age_s"),
               fieldText(Each, "limit_per_s"), fieldText(Each, "pause_left_s")});
  }
  Table.write(Out);
  return ExitCode::Success;
}

} // namespace anvilsaddle
