#include "protocol/DaemonSettings.h"

#include "protocol/TomlTable.h"

#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t MaxPort = 65535;
constexpr std::size_t MinFleetKeyBytes = 16;
/// The counts of a longer window do not fit into a datagram.
constexpr Duration MaxQuotaWindow = 20s;

Endpoint readEndpoint(TomlTable &Table, std::string_view Key) {
  const std::string Text = Table.requiredString(Key);
  if (Text.empty()) {
    return {};
  }
  const std::optional<Endpoint> Result = parseEndpoint(Text);
  if (!Result) {
    Table.addError(Key, "'" + std::string(Key) + "' must be <IPv4 address>:<port>");
  }
  return Result.value_or(Endpoint{});
}

void readListen(TomlTable Listen, DaemonSettings &Result) {
  Result.CallerEndpoint = readEndpoint(Listen, "callers");
  Result.ReadinessEndpoint = readEndpoint(Listen, "readiness");
  Result.DirectoryEndpoint = readEndpoint(Listen, "directory");
  Result.ControlEndpoint = readEndpoint(Listen, "control");
  Result.OperatorEndpoint = readEndpoint(Listen, "operators");
  const std::vector<std::int64_t> Ports = Listen.integersOr("peer_ports", {}, 1, MaxPort);
  if (Ports.empty()) {
    Listen.addError("peer_ports", "'peer_ports' must contain at least one port");
  } else {
    Result.PeerPort = static_cast<std::uint16_t>(Ports.front());
  }
  Listen.reportUnknownKeys();
}

void readRegions(TomlTable &Fleet, DaemonSettings &Result) {
  for (const auto &[Domain, Region] : Fleet.table("regions").allStrings()) {
    Result.FleetTopology.RegionByDomain[FailureDomainName(Domain)] = RegionName(Region);
  }
  if (!Result.FleetTopology.RegionByDomain.contains(Result.FleetTopology.OwnDomain)) {
    Fleet.addError("regions", "'regions' must contain the region of this entry's failure domain '" +
                                  Result.FleetTopology.OwnDomain.str() + "'");
  }
}

void readFleet(TomlTable Fleet, DaemonSettings &Result) {
  readRegions(Fleet, Result);
  Result.Seeds = Fleet.stringsOr("seeds", {}, [](const std::string &Text) {
    return parseEndpoint(Text) ? "" : "must be <IPv4 address>:<port>";
  });
  for (std::string &Each : Result.Seeds) {
    Each.resize(Each.find(':'));
  }
  Result.FleetKey = Fleet.requiredString("key");
  if (!Result.FleetKey.empty() && Result.FleetKey.size() < MinFleetKeyBytes) {
    Fleet.addError("key", "'key' must have at least 16 bytes");
  }
  Fleet.reportUnknownKeys();
}

void readLimits(TomlTable Limits, DaemonSettings &Result) {
  RetryBudgetLimits &Retries = Result.Dispatch.Retries;
  Retries.Ratio = Limits.numberOr("repeat_ratio", Retries.Ratio, 0, 10);
  Retries.BaseRetries = Limits.numberOr("repeat_extra", Retries.BaseRetries, 0, 1e6);
  Retries.Window = Limits.secondsOr("repeat_window_s", Retries.Window, 1s, 1h);
  ColdStartLimits &Cold = Result.Dispatch.ColdStart;
  Cold.BurstFactor = Limits.numberOr("cold_burst_factor", Cold.BurstFactor, 0, 100);
  Cold.Slack = Limits.numberOr("cold_slack", Cold.Slack, 0, 1e4);
  Result.Dispatch.Hedges.Share = Limits.optionalNumber("hedge_share", 0, 1);
  QuotaBounds &Quotas = Result.Quotas;
  Quotas.Window = Limits.secondsOr("quota_window_s", Quotas.Window, 1s, MaxQuotaWindow);
  Quotas.Overshoot = Limits.numberOr("quota_overshoot", Quotas.Overshoot, 0, 10);
  Quotas.Slack = Limits.numberOr("quota_slack", Quotas.Slack, 0, 1e4);
  Result.StopGracePeriod = Limits.secondsOr("stop_grace_s", Result.StopGracePeriod, 1s, 1h);
  Result.AddressTtl = Limits.secondsOr("address_lifetime_s", Result.AddressTtl, 100ms, 1h);
  Result.MaxConnections = Limits.integerOr("max_connections", Result.MaxConnections, 1, 100'000);
  VmResources &Resources = Result.Resources;
  Resources.MemoryMb = Limits.integerOr("memory_mb", Resources.MemoryMb, VmResources::MinMemoryMb,
                                        VmResources::MaxMemoryMb);
  Resources.Descriptors =
      Limits.integerOr("descriptors", Resources.Descriptors, VmResources::MinDescriptors,
                       VmResources::MaxDescriptors);
  Result.MaxAuditRecords = Limits.integerOr("audit_entries", Result.MaxAuditRecords, 1, 1'000'000);
  Limits.reportUnknownKeys();
}

} // namespace

std::variant<DaemonSettings, Diagnostics>
readDaemonSettings(std::string_view Text, const std::string &Path, VmResources Defaults) {
  Diagnostics Errors;
  const auto Parsed = parseToml(Text, Path, Errors);
  if (!Parsed) {
    return Errors;
  }
  DaemonSettings Result;
  Result.Resources = Defaults;
  TomlTable Root(*Parsed, Path, Errors);
  Result.Vm = VmName(Root.requiredString("vm"));
  Result.FleetTopology.OwnRegion = RegionName(Root.requiredString("region"));
  Result.FleetTopology.OwnDomain = FailureDomainName(Root.requiredString("failure_domain"));
  readListen(Root.table("listen"), Result);
  TomlTable Store = Root.table("store");
  Result.StoreEndpoint = readEndpoint(Store, "address");
  Store.reportUnknownKeys();
  readFleet(Root.table("fleet"), Result);
  readLimits(Root.table("limits"), Result);
  TomlTable Log = Root.table("log");
  Result.LogLevel = Log.choiceOr("level", Result.LogLevel, {"debug", "info", "warning", "error"});
  Log.reportUnknownKeys();
  Root.reportUnknownKeys();
  if (Errors.empty()) {
    return Result;
  }
  return sortedDiagnostics(std::move(Errors));
}

} // namespace anvilsaddle
