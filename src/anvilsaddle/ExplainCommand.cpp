#include "ExplainCommand.h"

#include "TextTable.h"

#include <ostream>

#include <glib.h>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

std::string escapeQueryValue(const std::string &Text) {
  gchar *Escaped = g_uri_escape_string(Text.c_str(), nullptr, FALSE);
  std::string Result = Escaped;
  g_free(Escaped);
  return Result;
}

} // namespace

void ExplainCommand::addTo(CLI::App &App) {
  this->Subcommand = App.add_subcommand(
      "explain", "Show the route that a request matches; no request is sent to a target");
  this->Daemon.addTo(*this->Subcommand, "operators");
  this->Subcommand->add_option("host", this->Host, "Host of the request")->required();
  this->Subcommand->add_option("--customer", this->Customer,
                               "Customer whose priority and home regions apply");
  this->Subcommand->add_option("path", this->Path, "Request path, starting with '/'")
      ->required()
      ->check([](const std::string &Text) {
        return Text.starts_with('/') ? std::string() : "the path must start with '/'";
      });
}

leaf::result<ExitCode> ExplainCommand::run(std::ostream &Out) {
  const std::string Customer =
      this->Customer.empty() ? "" : "&customer=" + escapeQueryValue(this->Customer);
  BOOST_LEAF_AUTO(Response, this->Daemon.query("/explain?host=" + escapeQueryValue(this->Host) +
                                               "&path=" + escapeQueryValue(this->Path) + Customer));
  if (this->Daemon.AsJson) {
    Out << Response.dump(2) << '\n';
    return ExitCode::Success;
  }
  TextTable Fields({"FIELD", "VALUE"});
  for (const auto &[Key, Value] : Response.items()) {
    Fields.add({Key, Value.is_string() ? Value.get<std::string>() : Value.dump()});
  }
  Fields.write(Out);
  return ExitCode::Success;
}

} // namespace anvilsaddle
