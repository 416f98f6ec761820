#pragma once

#include "state/Diagnostic.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace anvilsaddle {

/// Validated access to a TOML table. Each wrong type, value out of range, missing or unknown key is
/// reported as a diagnostic with its location. A getter that reports a diagnostic returns its
/// default. Not thread-safe.
class TomlTable {
public:
  /// Precondition: all arguments outlive this object.
  TomlTable(const toml::table &Table, const std::string &Path, Diagnostics &Errors)
      : Table(Table), Path(Path), Errors(Errors) {}

  /// A non-empty string.
  std::string requiredString(std::string_view Key);
  std::string stringOr(std::string_view Key, std::string Default);
  std::int64_t integerOr(std::string_view Key, std::int64_t Default, std::int64_t Minimum,
                         std::int64_t Maximum);
  /// An array of integers.
  std::vector<std::int64_t> integersOr(std::string_view Key, std::vector<std::int64_t> Default,
                                       std::int64_t Minimum, std::int64_t Maximum);
  /// A duration in seconds; fractions are allowed.
  Duration secondsOr(std::string_view Key, Duration Default, Duration Minimum, Duration Maximum);
  /// An integer or floating-point number.
  double numberOr(std::string_view Key, double Default, double Minimum, double Maximum);
  /// The same; nothing if the key is missing.
  std::optional<double> optionalNumber(std::string_view Key, double Minimum, double Maximum);
  /// All keys of this table and their values, which must be non-empty strings.
  std::map<std::string, std::string> allStrings();
  /// An array of distinct strings. `Validate` returns an error message for an element, or an empty
  /// text if the element is valid. Errors are reported at the location of the element.
  std::vector<std::string>
  stringsOr(std::string_view Key, std::vector<std::string> Default,
            const std::function<std::string(const std::string &)> &Validate);
  /// A string that must be one of the allowed values.
  std::string choiceOr(std::string_view Key, const std::string &Default,
                       const std::vector<std::string> &Allowed);
  /// A subtable; empty if it is missing.
  TomlTable table(std::string_view Key);

  /// Reports an error at the location of a key, or of the table if the key is missing.
  void addError(std::string_view Key, std::string Message);
  /// Reports the keys that were not read by a getter. Call this after all getters.
  void reportUnknownKeys();

private:
  const toml::node *find(std::string_view Key);
  void addErrorAt(const toml::node &Node, std::string Message);
  std::int64_t checkedInteger(const toml::node &Value, std::string_view Key, std::int64_t Default,
                              std::int64_t Minimum, std::int64_t Maximum);

  const toml::table &Table;
  const std::string &Path;
  Diagnostics &Errors;
  std::set<std::string, std::less<>> RequestedKeys;
};

/// Sorts by location and keeps the first MaxDiagnostics, so that a file full of unknown keys does
/// not flood the status of every daemon.
Diagnostics sortedDiagnostics(Diagnostics Errors);
inline constexpr std::size_t MaxDiagnostics = 200;

/// Maximum size of a parsed text; settings files have a few kilobytes.
inline constexpr std::size_t MaxTomlBytes = std::size_t{1} << 20;

/// Parses TOML text. On a syntax error it reports a diagnostic and returns nothing.
std::optional<toml::table> parseToml(std::string_view Text, const std::string &Path,
                                     Diagnostics &Errors);

} // namespace anvilsaddle
