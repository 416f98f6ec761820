#include "protocol/DaemonSettings.h"

#include "protocol/TomlTable.h"

#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t MaxPort = 65535;
constexpr std::size_t LeastKeyBytes = 16;

Endpoint readEndpoint(TomlTable &Table, std::string_view Key) {
  const std::string Text = Table.requiredString(Key);
  if (Text.empty()) {
    return {};
  }
  const std::optional<Endpoint> Result = parseEndpoint(Text);
  if (!Result) {
    Table.addFinding(Key, "'" + std::string(Key) + "' must be <IPv4 number>:<port>");
  }
  return Result.value_or(Endpoint{});
}

void readListen(TomlTable Listen, DaemonSettings &Result) {
  Result.Callers = readEndpoint(Listen, "callers");
  Result.Readiness = readEndpoint(Listen, "readiness");
  Result.Directory = readEndpoint(Listen, "directory");
  Result.Control = readEndpoint(Listen, "control");
  Result.Operators = readEndpoint(Listen, "operators");
  const std::vector<std::int64_t> Ports = Listen.integersOr("peer_ports", {}, 1, MaxPort);
  if (Ports.empty()) {
    Listen.addFinding("peer_ports", "'peer_ports' must name at least one port");
  } else {
    Result.PeerPort = static_cast<std::uint16_t>(Ports.front());
  }
  Listen.reportUnknownKeys();
}

void readRegions(TomlTable &Fleet, DaemonSettings &Result) {
  for (const auto &[Domain, Region] : Fleet.table("regions").allStrings()) {
    Result.Places.Regions[FailureDomainName(Domain)] = RegionName(Region);
  }
  if (!Result.Places.Regions.contains(Result.Places.OwnDomain)) {
    Fleet.addFinding("regions", "'regions' must name the region of this entry's failure domain '" +
                                    Result.Places.OwnDomain.str() + "'");
  }
}

void readFleet(TomlTable Fleet, DaemonSettings &Result) {
  readRegions(Fleet, Result);
  Result.Seeds = Fleet.stringsOr("seeds", {}, [](const std::string &Text) {
    return parseEndpoint(Text) ? "" : "must be <IPv4 number>:<port>";
  });
  for (std::string &Each : Result.Seeds) {
    Each.resize(Each.find(':'));
  }
  Result.FleetKey = Fleet.requiredString("key");
  if (!Result.FleetKey.empty() && Result.FleetKey.size() < LeastKeyBytes) {
    Fleet.addFinding("key", "'key' must have at least 16 bytes");
  }
  Fleet.reportUnknownKeys();
}

void readLimits(TomlTable Limits, DaemonSettings &Result) {
  RepeatBudgetLimits &Retries = Result.Dispatch.Retries;
  Retries.Ratio = Limits.numberOr("repeat_ratio", Retries.Ratio, 0, 10);
  Retries.BaseRetries = Limits.numberOr("repeat_extra", Retries.BaseRetries, 0, 1e6);
  Retries.Window = Limits.secondsOr("repeat_window_s", Retries.Window, 1s, 1h);
  ColdStartLimits &Cold = Result.Dispatch.ColdStart;
  Cold.BurstFactor = Limits.numberOr("cold_burst_factor", Cold.BurstFactor, 0, 100);
  Cold.Slack = Limits.numberOr("cold_slack", Cold.Slack, 0, 1e4);
  Result.StopGrace = Limits.secondsOr("stop_grace_s", Result.StopGrace, 1s, 1h);
  Result.AddressLifetime =
      Limits.secondsOr("address_lifetime_s", Result.AddressLifetime, 100ms, 1h);
  Result.MaxConnections = Limits.integerOr("max_connections", Result.MaxConnections, 1, 100'000);
  Result.AuditEntries = Limits.integerOr("audit_entries", Result.AuditEntries, 1, 1'000'000);
  Limits.reportUnknownKeys();
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
  Result.Vm = VmName(Root.requiredString("vm"));
  Result.Places.OwnRegion = RegionName(Root.requiredString("region"));
  Result.Places.OwnDomain = FailureDomainName(Root.requiredString("failure_domain"));
  readListen(Root.table("listen"), Result);
  TomlTable Store = Root.table("store");
  Result.Store = readEndpoint(Store, "address");
  Store.reportUnknownKeys();
  readFleet(Root.table("fleet"), Result);
  readLimits(Root.table("limits"), Result);
  TomlTable Log = Root.table("log");
  Result.LogLevel = Log.choiceOr("level", Result.LogLevel, {"debug", "info", "warning", "error"});
  Log.reportUnknownKeys();
  Root.reportUnknownKeys();
  if (Problems.empty()) {
    return Result;
  }
  return sortedFindings(std::move(Problems));
}

} // namespace anvilsaddle
