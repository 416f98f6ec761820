#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Headers of a message in their order.
using FieldList = std::vector<std::pair<std::string, std::string>>;

/// First value of a header in any letter case; empty if it is missing. Thread-safe.
std::string_view findField(const FieldList &Fields, std::string_view Name);

/// True if the names are equal but for letter case. Thread-safe.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// True if no transfer coding but chunks applies. The bytes of another one would pass for the body.
/// Thread-safe.
bool hasOnlyChunkedCoding(const FieldList &Fields);

/// The headers that concern more than one connection: without those of RFC 9110, section 7.6.1,
/// those that `Connection` names, and those that frame the body. Thread-safe.
FieldList endToEndFields(const FieldList &Fields);

/// How the end of a body is marked.
enum class BodyFraming { None, Length, Chunked, UntilClose };

/// Request line and headers. Value type.
struct RequestHead {
  std::string Method;
  /// Path with query, as it was sent.
  std::string Target;
  bool IsHttp10 = false;
  /// The sender keeps the connection open after the answer.
  bool KeepAlive = true;
  FieldList Fields;

  auto operator<=>(const RequestHead &) const = default;
};

/// Status line and headers of an answer. Value type.
struct ResponseHead {
  int Status = 0;
  std::string Reason;
  FieldList Fields;
  BodyFraming Framing = BodyFraming::None;
  /// The announced length, for an answer to HEAD as well.
  std::optional<std::uint64_t> Length;

  /// First value of a header; empty if it is missing.
  std::string_view field(std::string_view Name) const { return findField(this->Fields, Name); }

  auto operator<=>(const ResponseHead &) const = default;
};

/// Text of a request head with its empty line. A length is announced if there is a body or the
/// method usually has one. Thread-safe.
std::string writeRequestHead(const RequestHead &Head, std::size_t BodyBytes);

/// Text of an answer head with its empty line. Adds the framing, and `Connection: close` if asked
/// to. Precondition: the fields hold neither. Thread-safe.
std::string writeResponseHead(const ResponseHead &Head, bool Close);

/// One chunk of a body in the chunked coding. Precondition: the text is not empty. Thread-safe.
std::string writeChunk(std::string_view Text);
/// End of a body in the chunked coding.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Value of a parameter of the query in a request target, percent-decoded; empty if it is missing.
/// Thread-safe.
std::string queryParameter(std::string_view Target, std::string_view Name);

/// The target without its query. Thread-safe.
std::string_view pathWithoutQuery(std::string_view Target);

/// Standard reason phrase of a status. Thread-safe.
std::string reasonPhrase(int Status);

} // namespace anvilsaddle
