#include "protocol/ForwardHeader.h"

#include <array>
#include <charconv>
#include <chrono>
#include <string>
#include <string_view>

namespace anvilsaddle {

namespace {

/// The value is `targets wait elapsed`: the maximum number of targets to try, 1 if the request may
/// wait in a queue or 0, and the elapsed time in milliseconds.
constexpr const char *HeaderName = "Anvilsaddle-Forwarded";
/// The value is the name of the service that the first entry selected.
constexpr const char *ServiceHeaderName = "Anvilsaddle-Forwarded-Service";
constexpr std::int64_t MaxTargetLimit = 100;
constexpr std::int64_t MaxElapsedMilliseconds = 24LL * 3600 * 1000;

bool isForwardHeader(const std::pair<std::string, std::string> &Field) {
  return equalsIgnoreCase(Field.first, HeaderName) ||
         equalsIgnoreCase(Field.first, ServiceHeaderName);
}

/// Parses three non-negative integers that are separated by single spaces.
std::optional<std::array<std::int64_t, 3>> readNumbers(std::string_view Text) {
  std::array<std::int64_t, 3> Result{};
  const char *Position = Text.data();
  const char *End = Text.data() + Text.size();
  for (std::int64_t &Number : Result) {
    const auto [Next, ErrorCode] = std::from_chars(Position, End, Number);
    const bool IsLast = &Number == &Result.back();
    const bool IsDelimited = IsLast ? Next == End : Next != End && *Next == ' ';
    if (ErrorCode != std::errc() || !IsDelimited || Number < 0) {
      return std::nullopt;
    }
    Position = IsLast ? Next : Next + 1;
  }
  return Result;
}
/// Header fields of a forwarded request that the first entry adds.
constexpr std::size_t MaxAddedBytes = std::size_t{4} * 1024;

} // namespace

void writeForwardHeader(FieldList &Fields, const ForwardOptions &Options) {
  std::erase_if(Fields, isForwardHeader);
  Fields.emplace_back(HeaderName, std::to_string(Options.MaxTargets) + " " +
                                      (Options.MayQueue ? "1 " : "0 ") +
                                      std::to_string(toMilliseconds(Options.Elapsed)));
  if (!Options.Service.empty()) {
    Fields.emplace_back(ServiceHeaderName, Options.Service.str());
  }
}

std::optional<ForwardOptions> takeForwardHeader(FieldList &Fields) {
  const std::string Text(findField(Fields, HeaderName));
  const ServiceName Service(std::string(findField(Fields, ServiceHeaderName)));
  std::erase_if(Fields, isForwardHeader);
  const auto Numbers = readNumbers(Text);
  if (!Numbers) {
    return std::nullopt;
  }
  const auto &[TargetLimit, QueueFlag, Elapsed] = *Numbers;
  if (TargetLimit < 1 || TargetLimit > MaxTargetLimit || QueueFlag > 1 ||
      Elapsed > MaxElapsedMilliseconds) {
    return std::nullopt;
  }
  return ForwardOptions{static_cast<std::uint32_t>(TargetLimit), QueueFlag == 1,
                        std::chrono::milliseconds(Elapsed), Service};
}

CallerLimits limitsOfForwardedRequests(const CallerLimits &Limits) {
  CallerLimits Result = Limits;
  Result.HeadBytes += MaxAddedBytes;
  return Result;
}

} // namespace anvilsaddle
