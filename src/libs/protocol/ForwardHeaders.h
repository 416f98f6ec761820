#pragma once

#include "coordination/RequestHead.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

class Sealer;

/// Headers by which one entry passes a request on to another. The seal covers the mark (sender and
/// customer included), method, path and idempotency key, so that a header of one request is of no
/// use for another. Thread-safe.
class ForwardHeaders {
public:
  static constexpr const char *MarkName = "Anvilsaddle-Forward";
  static constexpr const char *SealName = "Anvilsaddle-Forward-Seal";

  /// Precondition: Seals outlives this object.
  explicit ForwardHeaders(const Sealer &Seals) : Seals(Seals) {}

  static std::string formatMark(const ForwardMark &Mark);
  std::string formatSeal(const ForwardMark &Mark, const RequestHead &Head) const;
  /// Null if the mark is malformed or the seal does not belong to it and to the request.
  std::optional<ForwardMark> parse(std::string_view MarkText, std::string_view SealText,
                                   const RequestHead &Head) const;

private:
  const Sealer &Seals;
};

} // namespace anvilsaddle
