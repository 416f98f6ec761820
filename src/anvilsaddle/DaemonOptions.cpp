#include "DaemonOptions.h"

#include "HttpClient.h"

#include <chrono>

#include <gio/gio.h>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

constexpr double MaxTimeoutSeconds = 3600;
/// Longest part of an error answer that is shown.
constexpr std::size_t MaxShownError = 500;

bool isIpAndPort(const std::string &Text) {
  GError *Error = nullptr;
  GSocketConnectable *Parsed = g_network_address_parse(Text.c_str(), 0, &Error);
  if (!Parsed) {
    g_error_free(Error);
    return false;
  }
  auto *Address = G_NETWORK_ADDRESS(Parsed);
  const bool Valid = g_network_address_get_port(Address) > 0 &&
                     g_hostname_is_ip_address(g_network_address_get_hostname(Address));
  g_object_unref(Parsed);
  return Valid;
}

} // namespace

void DaemonOptions::addTo(CLI::App &Command, const std::string &Port) {
  Command
      .add_option("-a,--address", this->Address,
                  "IP number and port of the daemon: its " + Port + " port")
      ->required()
      ->envname("ANVILSADDLE_ADDRESS")
      ->type_name("IP:PORT")
      ->check([](const std::string &Text) {
        return isIpAndPort(Text) ? std::string() : "'" + Text + "' is not <ip number>:<port>";
      });
  Command.add_option("-t,--timeout", this->TimeoutSeconds, "Longest wait for the answer")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.001, MaxTimeoutSeconds))
      ->capture_default_str();
  Command.add_flag("--json", this->Json, "Write JSON instead of tables");
}

leaf::result<nlohmann::json>
DaemonOptions::ask(const std::string &PathAndQuery,
                   const std::map<std::string, std::string> &Headers) const {
  const auto Timeout = std::chrono::milliseconds(static_cast<int>(this->TimeoutSeconds * 1000));
  BOOST_LEAF_AUTO(Answer, httpGet("http://" + this->Address + PathAndQuery, Headers, Timeout));
  if (Answer.Status < 200 || Answer.Status > 299) {
    std::string Reason = Answer.Body.substr(0, MaxShownError);
    while (!Reason.empty() && Reason.back() == '\n') {
      Reason.pop_back();
    }
    return leaf::new_error(ToolError{ExitCode::Refused, this->Address + " refused with status " +
                                                            std::to_string(Answer.Status) +
                                                            (Reason.empty() ? "" : ": " + Reason)});
  }
  auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (Body.is_discarded()) {
    return leaf::new_error(
        ToolError{ExitCode::Unreachable, "the answer of " + this->Address +
                                             " is not JSON; is it the right port of a daemon?"});
  }
  return Body;
}

} // namespace anvilsaddle
