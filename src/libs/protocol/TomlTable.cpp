#include "protocol/TomlTable.h"

#include "protocol/TomlKeyDepth.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

const toml::table EmptyTable;

std::string formatNumber(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

std::string quoted(std::string_view Key) { return "'" + std::string(Key) + "'"; }

} // namespace

Diagnostics sortedDiagnostics(Diagnostics Errors) {
  std::ranges::stable_sort(Errors);
  if (Errors.size() > MaxDiagnostics) {
    const std::size_t OmittedCount = Errors.size() - MaxDiagnostics;
    const std::string Path = Errors.front().Path;
    Errors.resize(MaxDiagnostics);
    Errors.push_back({Path, 0, 0, "and " + std::to_string(OmittedCount) + " more errors"});
  }
  return Errors;
}

std::string TomlTable::requiredString(std::string_view Key) {
  if (!this->find(Key)) {
    this->addError(Key, "missing key " + quoted(Key));
    return {};
  }
  const std::size_t ErrorCountBefore = this->Errors.size();
  std::string Result = this->stringOr(Key, {});
  if (Result.empty() && this->Errors.size() == ErrorCountBefore) {
    this->addError(Key, quoted(Key) + " must not be empty");
  }
  return Result;
}

std::string TomlTable::stringOr(std::string_view Key, std::string Default) {
  const toml::node *Value = this->find(Key);
  if (!Value) {
    return Default;
  }
  if (const auto *Text = Value->as_string()) {
    return Text->get();
  }
  this->addErrorAt(*Value, quoted(Key) + " must be a string");
  return Default;
}

std::int64_t TomlTable::integerOr(std::string_view Key, std::int64_t Default, std::int64_t Minimum,
                                  std::int64_t Maximum) {
  const toml::node *Value = this->find(Key);
  return Value ? this->checkedInteger(*Value, Key, Default, Minimum, Maximum) : Default;
}

std::vector<std::int64_t> TomlTable::integersOr(std::string_view Key,
                                                std::vector<std::int64_t> Default,
                                                std::int64_t Minimum, std::int64_t Maximum) {
  const toml::node *Value = this->find(Key);
  if (!Value) {
    return Default;
  }
  const toml::array *Elements = Value->as_array();
  if (!Elements) {
    this->addErrorAt(*Value, quoted(Key) + " must be an array of integers");
    return Default;
  }
  std::vector<std::int64_t> Result;
  for (const toml::node &Element : *Elements) {
    Result.push_back(this->checkedInteger(Element, Key, Minimum, Minimum, Maximum));
  }
  return Result;
}

Duration TomlTable::secondsOr(std::string_view Key, Duration Default, Duration Minimum,
                              Duration Maximum) {
  using Seconds = std::chrono::duration<double>;
  const double Value = this->numberOr(Key, Seconds(Default).count(), Seconds(Minimum).count(),
                                      Seconds(Maximum).count());
  return std::chrono::duration_cast<Duration>(Seconds(Value));
}

double TomlTable::numberOr(std::string_view Key, double Default, double Minimum, double Maximum) {
  const toml::node *Value = this->find(Key);
  if (!Value) {
    return Default;
  }
  const std::optional<double> Number = Value->value<double>();
  if (!Number || !(*Number >= Minimum && *Number <= Maximum)) {
    this->addErrorAt(*Value, quoted(Key) + " must be a number from " + formatNumber(Minimum) +
                                 " to " + formatNumber(Maximum));
    return Default;
  }
  return *Number;
}

std::optional<double> TomlTable::optionalNumber(std::string_view Key, double Minimum,
                                                double Maximum) {
  if (!this->find(Key)) {
    return std::nullopt;
  }
  return this->numberOr(Key, Minimum, Minimum, Maximum);
}

std::map<std::string, std::string> TomlTable::allStrings() {
  std::map<std::string, std::string> Result;
  for (const auto &[Key, Value] : this->Table) {
    Result[std::string(Key.str())] = this->requiredString(Key.str());
  }
  return Result;
}

std::vector<std::string>
TomlTable::stringsOr(std::string_view Key, std::vector<std::string> Default,
                     const std::function<std::string(const std::string &)> &Validate) {
  const toml::node *Value = this->find(Key);
  if (!Value) {
    return Default;
  }
  const toml::array *Elements = Value->as_array();
  if (!Elements) {
    this->addErrorAt(*Value, quoted(Key) + " must be an array of strings");
    return Default;
  }
  std::vector<std::string> Result;
  std::set<std::string> Seen;
  const std::size_t ErrorCountBefore = this->Errors.size();
  for (const toml::node &Element : *Elements) {
    const auto *Text = Element.as_string();
    if (!Text) {
      this->addErrorAt(Element, "elements of " + quoted(Key) + " must be strings");
      continue;
    }
    std::string Error = Validate(Text->get());
    if (Error.empty() && !Seen.insert(Text->get()).second) {
      Error = "must not repeat";
    }
    if (!Error.empty()) {
      this->addErrorAt(Element, "elements of " + quoted(Key) + " " + Error);
    }
    Result.push_back(Text->get());
  }
  return this->Errors.size() == ErrorCountBefore ? Result : Default;
}

std::string TomlTable::choiceOr(std::string_view Key, const std::string &Default,
                                const std::vector<std::string> &Allowed) {
  std::string Result = this->stringOr(Key, Default);
  if (std::ranges::find(Allowed, Result) != Allowed.end()) {
    return Result;
  }
  std::string Message = quoted(Key) + " must be one of";
  for (const std::string &Choice : Allowed) {
    Message += " " + quoted(Choice);
  }
  this->addError(Key, std::move(Message));
  return Default;
}

TomlTable TomlTable::table(std::string_view Key) {
  const toml::node *Value = this->find(Key);
  if (!Value) {
    return {EmptyTable, this->Path, this->Errors};
  }
  if (const toml::table *Entry = Value->as_table()) {
    return {*Entry, this->Path, this->Errors};
  }
  this->addErrorAt(*Value, quoted(Key) + " must be a table");
  return {EmptyTable, this->Path, this->Errors};
}

void TomlTable::addError(std::string_view Key, std::string Message) {
  const toml::node *Value = this->Table.get(Key);
  this->addErrorAt(Value ? *Value : this->Table, std::move(Message));
}

void TomlTable::reportUnknownKeys() {
  for (const auto &[Key, Value] : this->Table) {
    if (!this->RequestedKeys.contains(Key.str())) {
      const toml::source_position Position = Key.source().begin;
      this->Errors.push_back({this->Path, static_cast<std::uint32_t>(Position.line),
                              static_cast<std::uint32_t>(Position.column),
                              "unknown key " + quoted(Key.str())});
    }
  }
}

const toml::node *TomlTable::find(std::string_view Key) {
  this->RequestedKeys.emplace(Key);
  return this->Table.get(Key);
}

void TomlTable::addErrorAt(const toml::node &Node, std::string Message) {
  const toml::source_position Position = Node.source().begin;
  this->Errors.push_back({this->Path, static_cast<std::uint32_t>(Position.line),
                          static_cast<std::uint32_t>(Position.column), std::move(Message)});
}

std::int64_t TomlTable::checkedInteger(const toml::node &Value, std::string_view Key,
                                       std::int64_t Default, std::int64_t Minimum,
                                       std::int64_t Maximum) {
  const auto *Number = Value.as_integer();
  if (!Number) {
    this->addErrorAt(Value, quoted(Key) + " must be an integer");
    return Default;
  }
  if (Number->get() < Minimum || Number->get() > Maximum) {
    this->addErrorAt(Value, quoted(Key) + " must be " + std::to_string(Minimum) + " to " +
                                std::to_string(Maximum));
    return Default;
  }
  return Number->get();
}

std::optional<toml::table> parseToml(std::string_view Text, const std::string &Path,
                                     Diagnostics &Errors) {
  if (Text.size() > MaxTomlBytes) {
    Errors.push_back({Path, 0, 0,
                      "the text has " + std::to_string(Text.size()) + " bytes, but at most " +
                          std::to_string(MaxTomlBytes) + " are allowed"});
    return std::nullopt;
  }
  if (const auto Position = findDeepTomlKey(Text)) {
    Errors.push_back({Path, Position->Line, Position->Column,
                      "a key has more than " + std::to_string(MaxTomlKeyParts) + " parts"});
    return std::nullopt;
  }
  try {
    return toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    const toml::source_position Position = Error.source().begin;
    Errors.push_back({Path, static_cast<std::uint32_t>(Position.line),
                      static_cast<std::uint32_t>(Position.column),
                      std::string(Error.description())});
    return std::nullopt;
  }
}

} // namespace anvilsaddle
