#pragma once

#include "coordination/dispatch/Dispatcher.h"
#include "coordination/limits/QuotaMessages.h"
#include "state/Diagnostic.h"
#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"
#include "state/Topology.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// What the process may use of its VM. The defaults are those of the smallest VM, so that they are
/// safe where nothing states them. Value type.
struct VmResources {
  /// With less, the process itself leaves no room for requests.
  static constexpr std::int64_t MinMemoryMb = 64;
  static constexpr std::int64_t MaxMemoryMb = std::int64_t{1} << 20;
  /// Files, listening sockets and some connections of each kind.
  static constexpr std::int64_t MinDescriptors = 400;
  static constexpr std::int64_t MaxDescriptors = 1'000'000;

  std::int64_t MemoryMb = 112;
  std::int64_t Descriptors = 2870;

  auto operator<=>(const VmResources &) const = default;
};

/// Local settings of a daemon. Value type.
struct DaemonSettings {
  VmName Vm;
  Topology FleetTopology;
  /// Listening address for requests of callers.
  Endpoint CallerEndpoint;
  /// Listening address for readiness checks of the platform.
  Endpoint ReadinessEndpoint;
  /// Listening address for queries of callers for the entries that they should use.
  Endpoint DirectoryEndpoint;
  /// Listening address for entries that fetch publications. All entries use the same port.
  Endpoint ControlEndpoint;
  /// Listening address for operators.
  Endpoint OperatorEndpoint;
  /// UDP port for messages of other entries; all entries use the same port. The setting lists the
  /// available ports, of which the first is used.
  std::uint16_t PeerPort = 0;
  /// Store in which operators and targets publish.
  Endpoint StoreEndpoint;
  /// IPv4 addresses of entries that are contacted first to discover the others. Some of them may be
  /// down.
  std::vector<std::string> Seeds;
  /// Key that authenticates messages between entries.
  std::string FleetKey;
  DispatchLimits Dispatch;
  /// Bounds of the quotas of customers.
  QuotaBounds Quotas;
  /// Time from the stop signal until the process is killed.
  Duration StopGracePeriod = std::chrono::seconds(6);
  /// Time for which callers may cache a response of the directory.
  Duration AddressTtl = std::chrono::seconds(1);
  std::int64_t MaxConnections = 2000;
  VmResources Resources;
  std::string LogLevel = "info";
  std::int64_t MaxAuditRecords = 500;

  auto operator<=>(const DaemonSettings &) const = default;
};

/// Parses and validates local settings in TOML. All errors are reported together. `Defaults` hold
/// where the settings don't state the resources of the VM. Thread-safe.
std::variant<DaemonSettings, Diagnostics>
readDaemonSettings(std::string_view Text, const std::string &Path, VmResources Defaults = {});

} // namespace anvilsaddle
