#include "protocol/ForwardHeader.h"

#include <array>
#include <charconv>
#include <chrono>
#include <string>
#include <string_view>

namespace anvilsaddle {

namespace {

/// `targets waits elapsed`: the most targets, 1 if the request may wait, and milliseconds.
constexpr const char *MarkName = "Anvilsaddle-Forwarded";
constexpr std::int64_t LargestTargets = 100;
constexpr std::int64_t LongestMilliseconds = 24LL * 3600 * 1000;

bool isMark(const std::pair<std::string, std::string> &Field) {
  return equalsIgnoreCase(Field.first, MarkName);
}

/// Three numbers between spaces.
std::optional<std::array<std::int64_t, 3>> readNumbers(std::string_view Text) {
  std::array<std::int64_t, 3> Result{};
  const char *Place = Text.data();
  const char *End = Text.data() + Text.size();
  for (std::int64_t &Each : Result) {
    const auto [Stop, Problem] = std::from_chars(Place, End, Each);
    const bool IsLast = &Each == &Result.back();
    const bool EndsWell = IsLast ? Stop == End : Stop != End && *Stop == ' ';
    if (Problem != std::errc() || !EndsWell || Each < 0) {
      return std::nullopt;
    }
    Place = IsLast ? Stop : Stop + 1;
  }
  return Result;
}

} // namespace

void writeForwardHeader(FieldList &Fields, const ForwardTerms &Terms) {
  std::erase_if(Fields, isMark);
  Fields.emplace_back(MarkName, std::to_string(Terms.MaxTargets) + " " +
                                    (Terms.MayWait ? "1 " : "0 ") +
                                    std::to_string(toMilliseconds(Terms.Elapsed)));
}

std::optional<ForwardTerms> takeForwardHeader(FieldList &Fields) {
  const std::string Text(findField(Fields, MarkName));
  std::erase_if(Fields, isMark);
  const auto Numbers = readNumbers(Text);
  if (!Numbers) {
    return std::nullopt;
  }
  const auto &[Targets, Waits, Elapsed] = *Numbers;
  if (Targets < 1 || Targets > LargestTargets || Waits > 1 || Elapsed > LongestMilliseconds) {
    return std::nullopt;
  }
  return ForwardTerms{static_cast<std::uint32_t>(Targets), Waits == 1,
                      std::chrono::milliseconds(Elapsed)};
}

} // namespace anvilsaddle
