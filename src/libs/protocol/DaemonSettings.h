#pragma once

#include "coordination/Dispatcher.h"
#include "state/Endpoint.h"
#include "state/Finding.h"
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

/// Local settings of one daemon. Value type.
struct DaemonSettings {
  VmName Vm;
  Topology FleetTopology;
  /// Where callers send their requests.
  Endpoint CallerEndpoint;
  /// Where the platform asks whether the entry is ready.
  Endpoint ReadinessEndpoint;
  /// Where callers ask which entries to use.
  Endpoint DirectoryEndpoint;
  /// Where other entries ask for publications; the port is the same on all of them.
  Endpoint ControlEndpoint;
  /// Operators' interface.
  Endpoint OperatorEndpoint;
  /// UDP port for other entries, the same on all of them: the first of those that are free.
  std::uint16_t PeerPort = 0;
  /// Store in which operators and targets publish.
  Endpoint StoreEndpoint;
  /// Entries that are asked for others, as IP numbers; some may be down.
  std::vector<std::string> Seeds;
  /// Authenticates messages between entries.
  std::string FleetKey;
  DispatchTerms Dispatch;
  /// Time from the request to stop until the process is killed.
  Duration StopGracePeriod = std::chrono::seconds(6);
  /// Callers keep a directory answer for this time.
  Duration AddressTtl = std::chrono::seconds(1);
  std::int64_t MaxConnections = 2000;
  std::string LogLevel = "info";
  std::int64_t MaxAuditRecords = 500;

  auto operator<=>(const DaemonSettings &) const = default;
};

/// Reads and checks local settings in TOML; all findings are reported together. Thread-safe.
std::variant<DaemonSettings, Findings> readDaemonSettings(std::string_view Text,
                                                          const std::string &Path);

} // namespace anvilsaddle
