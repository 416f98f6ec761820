#include "CustomersCommand.h"

#include "TextTable.h"

#include <ostream>

namespace anvilsaddle {

namespace leaf = boost::leaf;

void CustomersCommand::addTo(CLI::App &App) {
  this->Subcommand = App.add_subcommand(
      "customers", "Show the customers of a daemon's configuration and the requests it counted");
  this->Daemon.addTo(*this->Subcommand, "operators");
}

leaf::result<ExitCode> CustomersCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Customers, this->Daemon.query("/customers"));
  if (this->Daemon.AsJson) {
    Out << Customers.dump(2) << '\n';
    return ExitCode::Success;
  }
  TextTable Table({"CUSTOMER", "KEYS", "PRIORITY", "HOME REGIONS", "LIMIT (1/s)", "BURST",
                   "ADMITTED", "REFUSED"});
  for (const auto &Each : Customers) {
    Table.add({fieldText(Each, "customer"), fieldText(Each, "keys"), fieldText(Each, "priority"),
               fieldText(Each, "home_regions"), fieldText(Each, "limit_per_s"),
               fieldText(Each, "burst"), fieldText(Each, "admitted"), fieldText(Each, "refused")});
  }
  Table.write(Out);
  return ExitCode::Success;
}

} // namespace anvilsaddle
