#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace anvilsaddle {

enum class FindingSeverity : std::uint8_t {
  /// Correct, and of no disadvantage to callers.
  Note,
  /// Correct, but probably not intended, or a disadvantage to some callers.
  Warning,
  /// A part of the configuration has no effect or fails requests.
  Error,
};

/// Short name for output, for example `warning`.
const char *toString(FindingSeverity Severity);

/// Part of a configuration to which a finding refers.
enum class ConfigurationPart : std::uint8_t { Whole, Route, Service, Customer, CallerLimits };

/// Result of a check of a configuration, or a difference between two. Contains names only, no API
/// keys. Value type.
struct ConfigurationFinding {
  ConfigurationPart Part = ConfigurationPart::Whole;
  /// Name of the route, service or customer; empty for other parts.
  std::string Name;
  FindingSeverity Severity = FindingSeverity::Error;
  /// Fixed identifier, for example `route_shadowed`.
  std::string Kind;
  std::string Message;

  auto operator<=>(const ConfigurationFinding &) const = default;
};

} // namespace anvilsaddle
