#include "protocol/HeadGrammar.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Version with its blank, and the digits of the status.
constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr std::size_t StatusBegin = VersionPrefix.size() + 2;
constexpr std::size_t StatusDigits = 3;
/// Characters of a field name other than letters and digits.
constexpr std::string_view TokenMarks = "!#$%&'*+-.^_`|~";

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool isTokenCharacter(char Character) {
  const bool IsLetter =
      (Character >= 'a' && Character <= 'z') || (Character >= 'A' && Character <= 'Z');
  return IsLetter || isDigit(Character) || TokenMarks.find(Character) != std::string_view::npos;
}

bool isControlCharacter(char Character) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7F;
  const auto Byte = static_cast<unsigned char>(Character);
  return (Byte < FirstPrintable && Character != '\t') || Byte == Delete;
}

bool hasControlCharacter(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), isControlCharacter);
}

} // namespace

std::string_view headgrammar::findProblemOfStatusLine(std::string_view Line) {
  if (hasControlCharacter(Line)) {
    return "a control byte in the status line";
  }
  if (Line.size() <= StatusBegin + StatusDigits || !Line.starts_with(VersionPrefix)) {
    return "invalid status line";
  }
  const std::string_view Status = Line.substr(StatusBegin, StatusDigits);
  const bool IsNumber = std::all_of(Status.begin(), Status.end(), isDigit);
  const bool IsValid = IsNumber && Status.front() >= '1' && Status.front() <= '5' &&
                       Line[StatusBegin + StatusDigits] == ' ';
  return IsValid ? std::string_view() : "invalid status";
}

std::string_view headgrammar::findProblemOfField(std::string_view Line) {
  if (hasControlCharacter(Line)) {
    return "a control byte in a field";
  }
  if (Line.front() == ' ' || Line.front() == '\t') {
    return "a line continues the one before it";
  }
  const std::string_view Name = Line.substr(0, Line.find(':'));
  const bool IsName = !Name.empty() && Name.size() < Line.size() &&
                      std::all_of(Name.begin(), Name.end(), isTokenCharacter);
  return IsName ? std::string_view() : "invalid field name";
}

std::string_view headgrammar::findProblemOfStatusLineStart(std::string_view Start) {
  const std::size_t Count = std::min(Start.size(), VersionPrefix.size());
  return Start.substr(0, Count) == VersionPrefix.substr(0, Count) ? std::string_view()
                                                                  : "not an HTTP/1 response";
}

} // namespace anvilsaddle
