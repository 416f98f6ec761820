#include "ExplainCommand.h"

#include "TextTable.h"

#include <ostream>

#include <glib.h>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

std::string queryValue(const std::string &Text) {
  gchar *Escaped = g_uri_escape_string(Text.c_str(), nullptr, FALSE);
  std::string Result = Escaped;
  g_free(Escaped);
  return Result;
}

} // namespace

void ExplainCommand::addTo(CLI::App &App) {
  this->Declared = App.add_subcommand(
      "explain", "Show where a daemon would send a request, each candidate and why it was ruled "
                 "out; nothing is sent to a target");
  this->Daemon.addTo(*this->Declared, "admin");
  this->Declared->add_option("method", this->Method, "HTTP method, for example GET")->required();
  this->Declared->add_option("path", this->Path, "Request path, starting with '/'")
      ->required()
      ->check([](const std::string &Text) {
        return Text.starts_with('/') ? std::string() : "the path must start with '/'";
      });
  this->Declared->add_option("-c,--customer", this->Customer, "Full name of the customer")
      ->required()
      ->type_name("TEAM.CUSTOMER")
      ->check([](const std::string &Text) {
        const auto Dot = Text.find('.');
        const bool Valid = Dot != std::string::npos && Dot > 0 && Dot + 1 < Text.size();
        return Valid ? std::string() : "'" + Text + "' is not <team>.<customer>";
      });
}

leaf::result<ExitCode> ExplainCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Answer, this->Daemon.ask("/admin/explain?method=" + queryValue(this->Method) +
                                           "&path=" + queryValue(this->Path) +
                                           "&customer=" + queryValue(this->Customer)));
  if (this->Daemon.Json) {
    Out << Answer.dump(2) << '\n';
    return ExitCode::Fine;
  }
  TextTable Steps({"CANDIDATE", "RESULT", "REASON"});
  for (const auto &Each : Answer.value("steps", nlohmann::json::array())) {
    Steps.add({fieldText(Each, "candidate"), fieldText(Each, "result"), fieldText(Each, "reason")});
  }
  TextTable Decision({"DECISION", fieldText(Answer, "decision")});
  Decision.write(Out);
  Out << '\n';
  Steps.write(Out);
  return ExitCode::Fine;
}

} // namespace anvilsaddle
