#pragma once

#include "state/Finding.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace anvilsaddle {

/// Local settings of one daemon, read once at start. Value type.
struct DaemonSettings {
  VmName Vm;
  RegionName Region;
  FailureDomainName Domain;
  /// IP number of all listening sockets.
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  /// UDP and TCP port for other entries.
  std::uint16_t PeerPort = 0;
  /// Port of the operators' interface; always bound to 127.0.0.1.
  std::uint16_t AdminPort = 0;
  /// `http://<ip>:<port>` of the configuration service.
  std::string ConfigurationService;
  /// `http://<ip>:<port>` of the VM list.
  std::string VmListService;
  /// File with the fleet key; at least 16 bytes.
  std::string KeyFile;
  std::string LogLevel = "info";
  /// Longest wait of a graceful shutdown. Requests end by their deadlines before; this bounds a
  /// fault.
  Duration StopWait = std::chrono::minutes(11);
  std::int64_t MaxBodyBytes = 16 << 20;
  std::int64_t AuditEntries = 10'000;

  auto operator<=>(const DaemonSettings &) const = default;
};

/// Reads and checks local settings in TOML; all findings are reported together. Thread-safe.
std::variant<DaemonSettings, Findings> readDaemonSettings(std::string_view Text,
                                                          const std::string &Path);

} // namespace anvilsaddle
