#pragma once

#include "state/Finding.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// Requests of one kind within a scenario. Value type.
struct RequestKind {
  std::string Name;
  std::string Method = "GET";
  std::string Path;
  /// Share of the kind relative to the other kinds.
  std::uint32_t Weight = 1;
  /// Label in the report; the class in force is the one of the customer's route.
  std::string Class = "interactive";
  /// `<team>.<customer>.<secret>`.
  std::string Credential;
  /// True if each request carries an idempotency key.
  bool Keyed = false;
  std::uint32_t BodyBytes = 0;
  /// Service of the targets that direct mode uses; empty means all targets.
  std::string Service;

  auto operator<=>(const RequestKind &) const = default;
};

/// One run of the load tool. Value type.
struct Scenario {
  /// Requests a second, over all kinds.
  std::uint32_t Rate = 100;
  std::uint32_t Count = 1000;
  std::uint64_t Seed = 1;
  std::vector<RequestKind> Kinds;

  auto operator<=>(const Scenario &) const = default;
};

/// Reads a scenario in TOML; all findings are reported together. `Path` names the input in
/// findings.
std::variant<Scenario, Findings> readScenario(std::string_view Text, const std::string &Path);

} // namespace anvilsaddle
