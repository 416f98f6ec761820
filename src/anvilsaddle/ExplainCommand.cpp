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
      "explain", "Show the route of a request and what it allows; nothing is sent to a target");
  this->Daemon.addTo(*this->Declared, "operators");
  this->Declared->add_option("host", this->Host, "Host of the request")->required();
  this->Declared->add_option("path", this->Path, "Request path, starting with '/'")
      ->required()
      ->check([](const std::string &Text) {
        return Text.starts_with('/') ? std::string() : "the path must start with '/'";
      });
}

leaf::result<ExitCode> ExplainCommand::run(std::ostream &Out) {
  BOOST_LEAF_AUTO(Answer, this->Daemon.ask("/explain?host=" + queryValue(this->Host) +
                                           "&path=" + queryValue(this->Path)));
  if (this->Daemon.Json) {
    Out << Answer.dump(2) << '\n';
    return ExitCode::Fine;
  }
  TextTable Fields({"FIELD", "VALUE"});
  for (const auto &[Key, Value] : Answer.items()) {
    Fields.add({Key, Value.is_string() ? Value.get<std::string>() : Value.dump()});
  }
  Fields.write(Out);
  return ExitCode::Fine;
}

} // namespace anvilsaddle
