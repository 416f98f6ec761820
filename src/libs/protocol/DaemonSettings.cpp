#include "protocol/DaemonSettings.h"

#include "protocol/TomlTable.h"

#include <utility>

#include <gio/gio.h>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t MaxPort = 65535;

std::uint16_t readPort(TomlTable &Table, std::string_view Key) {
  return static_cast<std::uint16_t>(Table.requiredInteger(Key, 1, MaxPort));
}

/// Reads `http://<ip>:<port>`. Names are not allowed, because the daemon does no name lookups.
std::string readServiceUrl(TomlTable &Table, std::string_view Key) {
  std::string Result = Table.requiredString(Key);
  if (Result.empty()) {
    return Result;
  }
  GUri *Uri = g_uri_parse(Result.c_str(), G_URI_FLAGS_NONE, nullptr);
  const bool Valid = Uri && std::string_view(g_uri_get_scheme(Uri)) == "http" &&
                     g_uri_get_port(Uri) > 0 && g_hostname_is_ip_address(g_uri_get_host(Uri)) &&
                     std::string_view(g_uri_get_path(Uri)).empty() && !g_uri_get_query(Uri) &&
                     !g_uri_get_fragment(Uri) && !g_uri_get_userinfo(Uri);
  if (Uri) {
    g_uri_unref(Uri);
  }
  if (!Valid) {
    Table.addFinding(Key, "'" + std::string(Key) + "' must be http://<ip number>:<port>");
  }
  return Result;
}

/// Peers and callers both use TCP, so that each interface needs its own port.
void checkPorts(TomlTable &Listen, const DaemonSettings &Local) {
  if (Local.PeerPort == Local.Port) {
    Listen.addFinding("peer_port", "'peer_port' must differ from 'port'");
  }
  if (Local.AdminPort == Local.Port || Local.AdminPort == Local.PeerPort) {
    Listen.addFinding("admin_port", "'admin_port' must differ from 'port' and 'peer_port'");
  }
}

} // namespace

std::variant<DaemonSettings, Findings> readDaemonSettings(std::string_view Text,
                                                          const std::string &Path) {
  Findings Problems;
  const auto Parsed = parseToml(Text, Path, Problems);
  if (!Parsed) {
    return Problems;
  }
  DaemonSettings Result;
  TomlTable Root(*Parsed, Path, Problems);
  Result.Vm = VmName(Root.requiredName("vm"));
  Result.Region = RegionName(Root.requiredName("region"));
  Result.Domain = FailureDomainName(Root.requiredName("failure_domain"));

  TomlTable Listen = Root.table("listen");
  Result.Address = Listen.stringOr("address", Result.Address);
  if (!g_hostname_is_ip_address(Result.Address.c_str())) {
    Listen.addFinding("address", "'address' must be an IP number");
  }
  Result.Port = readPort(Listen, "port");
  Result.PeerPort = readPort(Listen, "peer_port");
  Result.AdminPort = readPort(Listen, "admin_port");
  if (Problems.empty()) {
    checkPorts(Listen, Result);
  }
  Listen.reportUnknownKeys();

  TomlTable Platform = Root.table("platform");
  Result.ConfigurationService = readServiceUrl(Platform, "configuration_service");
  Result.VmListService = readServiceUrl(Platform, "vm_list");
  Platform.reportUnknownKeys();

  TomlTable Fleet = Root.table("fleet");
  Result.KeyFile = Fleet.requiredString("key_file");
  Fleet.reportUnknownKeys();

  TomlTable Log = Root.table("log");
  Result.LogLevel = Log.choiceOr("level", Result.LogLevel, {"debug", "info", "warning", "error"});
  Log.reportUnknownKeys();

  TomlTable Limits = Root.table("limits");
  Result.StopWait = Limits.millisecondsOr("stop_wait_ms", Result.StopWait, 1s, 1h);
  Result.MaxBodyBytes = Limits.integerOr("max_body_bytes", Result.MaxBodyBytes, 1, 1 << 30);
  Result.AuditEntries = Limits.integerOr("audit_entries", Result.AuditEntries, 1, 1'000'000);
  Limits.reportUnknownKeys();

  Root.reportUnknownKeys();
  if (Problems.empty()) {
    return Result;
  }
  return sortedFindings(std::move(Problems));
}

} // namespace anvilsaddle
