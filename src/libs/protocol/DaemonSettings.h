#pragma once

#include "coordination/Dispatcher.h"
#include "state/Endpoint.h"
#include "state/Diagnostic.h"
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
  Topology Places;
  /// Where callers send their requests.
  Endpoint Callers;
  /// Where the platform asks whether the entry is ready.
  Endpoint Readiness;
  /// Where callers ask which entries to use.
  Endpoint Directory;
  /// Where other entries ask for publications; the port is the same on all of them.
  Endpoint Control;
  /// Operators' interface.
  Endpoint Operators;
  /// UDP port for other entries, the same on all of them: the first of those that are free.
  std::uint16_t PeerPort = 0;
  /// Store in which operators and targets publish.
  Endpoint Store;
  /// Entries that are asked for others, as IP numbers; some may be down.
  std::vector<std::string> Seeds;
  /// Authenticates messages between entries.
  std::string FleetKey;
  DispatchLimits Dispatch;
  /// Time from the request to stop until the process is killed.
  Duration StopGrace = std::chrono::seconds(6);
  /// Callers keep a directory answer for this time.
  Duration AddressLifetime = std::chrono::seconds(1);
  std::int64_t MaxConnections = 2000;
  std::string LogLevel = "info";
  std::int64_t AuditEntries = 500;

  auto operator<=>(const DaemonSettings &) const = default;
};

/// Reads and checks local settings in TOML; all findings are reported together. Thread-safe.
std::variant<DaemonSettings, Diagnostics> readDaemonSettings(std::string_view Text,
                                                             const std::string &Path);

} // namespace anvilsaddle
