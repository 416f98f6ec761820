#include "TextTable.h"

#include <algorithm>
#include <cctype>
#include <ostream>

namespace anvilsaddle {

namespace {

std::string replaceControlCharacters(std::string Text) {
  std::ranges::replace_if(
      Text, [](unsigned char Byte) { return std::iscntrl(Byte) != 0; }, '?');
  return Text;
}

} // namespace

void TextTable::write(std::ostream &Out) const {
  std::vector<std::size_t> Widths;
  for (const auto &Row : this->Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
    }
  }
  for (const auto &Row : this->Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += replaceControlCharacters(Row[Column]);
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << '\n';
  }
}

std::string fieldText(const nlohmann::json &Object, const std::string &Key) {
  if (!Object.is_object() || !Object.contains(Key)) {
    return {};
  }
  const auto &Value = Object.at(Key);
  return Value.is_string() ? Value.get<std::string>()
                           : Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace anvilsaddle
