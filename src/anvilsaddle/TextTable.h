#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

/// Plain-text table with aligned columns, two spaces apart. Replaces control characters, so that
/// text from a daemon cannot send escape sequences to the terminal.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Headings) : Rows{std::move(Headings)} {}

  void add(std::vector<std::string> Row) { this->Rows.push_back(std::move(Row)); }
  void write(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> Rows;
};

/// Value of an object's field as text. Strings have no quotes; a missing field gives an empty text.
std::string fieldText(const nlohmann::json &Object, const std::string &Key);

} // namespace anvilsaddle
