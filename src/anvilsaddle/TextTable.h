#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

/// Rows in aligned columns, two spaces apart. Control characters are replaced, so that text from a
/// daemon cannot change the terminal.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Headings) : Rows{std::move(Headings)} {}

  void add(std::vector<std::string> Row) { this->Rows.push_back(std::move(Row)); }
  void write(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> Rows;
};

/// The field of an object as text: strings without quotes, nothing for a missing field.
std::string fieldText(const nlohmann::json &Object, const std::string &Key);

} // namespace anvilsaddle
