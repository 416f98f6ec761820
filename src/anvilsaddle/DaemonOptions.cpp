#include "DaemonOptions.h"

#include "HttpClient.h"

#include <chrono>

#include <gio/gio.h>

namespace anvilsaddle {

namespace leaf = boost::leaf;

namespace {

constexpr double MaxTimeoutSeconds = 3600;
/// Longer bodies of error responses are truncated when shown.
constexpr std::size_t MaxErrorTextBytes = 500;

bool isIpAddressAndPort(const std::string &Text) {
  GError *Error = nullptr;
  GSocketConnectable *Parsed = g_network_address_parse(Text.c_str(), 0, &Error);
  if (!Parsed) {
    g_error_free(Error);
    return false;
  }
  auto *Address = G_NETWORK_ADDRESS(Parsed);
  const bool IsValid = g_network_address_get_port(Address) > 0 &&
                       g_hostname_is_ip_address(g_network_address_get_hostname(Address));
  g_object_unref(Parsed);
  return IsValid;
}

} // namespace

void DaemonOptions::addTo(CLI::App &Command, const std::string &EndpointName) {
  Command
      .add_option("-a,--address", this->Address,
                  "IP address and port of the daemon's " + EndpointName + " endpoint")
      ->required()
      ->envname("ANVILSADDLE_ADDRESS")
      ->type_name("IP:PORT")
      ->check([](const std::string &Text) {
        return isIpAddressAndPort(Text) ? std::string()
                                        : "'" + Text + "' is not <ip address>:<port>";
      });
  Command.add_option("-t,--timeout", this->TimeoutSeconds, "Maximum time to wait for the response")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.001, MaxTimeoutSeconds))
      ->capture_default_str();
  Command.add_flag("--json", this->AsJson, "Write JSON instead of tables");
}

leaf::result<nlohmann::json>
DaemonOptions::query(const std::string &PathAndQuery,
                     const std::map<std::string, std::string> &Headers) const {
  const auto Timeout = std::chrono::milliseconds(static_cast<int>(this->TimeoutSeconds * 1000));
  BOOST_LEAF_AUTO(Response, httpGet("http://" + this->Address + PathAndQuery, Headers, Timeout));
  if (Response.Status < 200 || Response.Status > 299) {
    std::string ErrorText = Response.Body.substr(0, MaxErrorTextBytes);
    while (!ErrorText.empty() && ErrorText.back() == '\n') {
      ErrorText.pop_back();
    }
    return leaf::new_error(
        ToolError{ExitCode::Refused, this->Address + " responded with status " +
                                         std::to_string(Response.Status) +
                                         (ErrorText.empty() ? "" : ": " + ErrorText)});
  }
  auto Body = nlohmann::json::parse(Response.Body, nullptr, false);
  if (Body.is_discarded()) {
    return leaf::new_error(ToolError{ExitCode::Unreachable,
                                     "the response of " + this->Address +
                                         " is not JSON; check the address and port of the daemon"});
  }
  return Body;
}

} // namespace anvilsaddle
