#include "protocol/ForwardHeaders.h"

#include "coordination/Sealer.h"

#include <array>
#include <cstddef>

namespace anvilsaddle {

namespace {

/// Separates this use of the fleet key from all others.
constexpr std::string_view Purpose = "anvilsaddle forward 1";
constexpr char Separator = ' ';

void appendField(std::string &Text, std::string_view Field) {
  // With its length in front, no field can pass for the end of another.
  Text += std::to_string(Field.size());
  Text += ':';
  Text += Field;
}

} // namespace

std::string ForwardHeaders::formatMark(const ForwardMark &Mark) {
  std::string Result = Mark.From.str();
  Result += Separator;
  Result += Mark.Customer.str();
  Result += Separator;
  Result += Mark.KeyAdmitted ? '1' : '0';
  Result += Separator;
  Result += Mark.ToOwner ? '1' : '0';
  return Result;
}

std::string ForwardHeaders::formatSeal(const ForwardMark &Mark, const RequestHead &Head) const {
  std::string Text;
  appendField(Text, Purpose);
  appendField(Text, formatMark(Mark));
  appendField(Text, Head.Method);
  appendField(Text, Head.Path);
  appendField(Text, Head.IdempotencyKey);
  return this->Seals.seal(Text);
}

std::optional<ForwardMark> ForwardHeaders::parse(std::string_view MarkText,
                                                 std::string_view SealText,
                                                 const RequestHead &Head) const {
  std::array<std::string_view, 4> Fields;
  std::string_view Rest = MarkText;
  for (std::size_t Index = 0; Index < Fields.size(); ++Index) {
    const std::size_t End = Rest.find(Separator);
    const bool Last = Index + 1 == Fields.size();
    if (Last != (End == std::string_view::npos)) {
      return std::nullopt;
    }
    Fields[Index] = Rest.substr(0, End);
    Rest = Last ? std::string_view() : Rest.substr(End + 1);
  }
  ForwardMark Mark;
  Mark.From = VmName(std::string(Fields[0]));
  Mark.Customer = CustomerName(std::string(Fields[1]));
  Mark.KeyAdmitted = Fields[2] == "1";
  Mark.ToOwner = Fields[3] == "1";
  const bool Genuine = formatMark(Mark) == MarkText && !Fields[0].empty() && !Fields[1].empty() &&
                       this->Seals.equals(SealText, this->formatSeal(Mark, Head));
  return Genuine ? std::optional(Mark) : std::nullopt;
}

} // namespace anvilsaddle
