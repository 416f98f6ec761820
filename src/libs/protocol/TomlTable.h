#pragma once

#include "state/Finding.h"
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

/// Checked access to one TOML table. Every wrong type, value out of range, missing or unknown key
/// becomes a finding with its place. A getter that adds a finding returns its default. Not
/// thread-safe.
class TomlTable {
public:
  /// Precondition: all arguments outlive the object.
  TomlTable(const toml::table &Table, const std::string &Path, Findings &Errors)
      : Table(Table), Path(Path), Errors(Errors) {}

  /// A string that is not empty.
  std::string requiredString(std::string_view Key);
  std::string stringOr(std::string_view Key, std::string Default);
  std::int64_t integerOr(std::string_view Key, std::int64_t Default, std::int64_t Minimum,
                         std::int64_t Maximum);
  /// An array of whole numbers.
  std::vector<std::int64_t> integersOr(std::string_view Key, std::vector<std::int64_t> Default,
                                       std::int64_t Minimum, std::int64_t Maximum);
  /// The key counts seconds, with or without a fraction.
  Duration secondsOr(std::string_view Key, Duration Default, Duration Minimum, Duration Maximum);
  /// A number with or without a fraction.
  double numberOr(std::string_view Key, double Default, double Minimum, double Maximum);
  /// All keys of this table with their values, which must be strings that are not empty.
  std::map<std::string, std::string> allStrings();
  /// `Check` gives the problem of one element, or an empty text; the finding is at the element. An
  /// element that occurs twice is a finding, too.
  std::vector<std::string> stringsOr(std::string_view Key, std::vector<std::string> Default,
                                     const std::function<std::string(const std::string &)> &Check);
  /// One of the allowed values.
  std::string choiceOr(std::string_view Key, const std::string &Default,
                       const std::vector<std::string> &Allowed);
  /// A sub-table, empty if absent.
  TomlTable table(std::string_view Key);

  /// Adds a finding at the place of a key, or of the table if the key is absent.
  void addError(std::string_view Key, std::string Message);
  /// Reports the keys that no getter asked for. Call last.
  void reportUnknownKeys();

private:
  const toml::node *find(std::string_view Key);
  void addErrorAt(const toml::node &Place, std::string Message);
  std::int64_t checkedInteger(const toml::node &Value, std::string_view Key, std::int64_t Default,
                              std::int64_t Minimum, std::int64_t Maximum);

  const toml::table &Table;
  const std::string &Path;
  Findings &Errors;
  std::set<std::string, std::less<>> Known;
};

/// Sorts by place and keeps the first MaxDiagnostics, so that a text of unknown keys does not fill
/// the status of every daemon.
Findings sortedDiagnostics(Findings Errors);
inline constexpr std::size_t MaxDiagnostics = 200;

/// Longest text that is read; settings have a few kilobytes.
inline constexpr std::size_t MaxTomlBytes = std::size_t{1} << 20;

/// Parses TOML text; a syntax error becomes a finding and nothing is returned.
std::optional<toml::table> parseToml(std::string_view Text, const std::string &Path,
                                     Findings &Errors);

} // namespace anvilsaddle
