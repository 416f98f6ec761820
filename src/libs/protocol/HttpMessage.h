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

/// Header fields of a message, in the order in which they were received.
using FieldList = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of a header field, or an empty view if the field is missing. Field names
/// are compared case-insensitively. Thread-safe.
std::string_view findField(const FieldList &Fields, std::string_view Name);

/// Compares two ASCII texts, for example field names, case-insensitively. Thread-safe.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// Returns true if no transfer coding other than `chunked` applies. With any other coding the
/// encoded bytes would be taken for the body. Thread-safe.
bool hasOnlyChunkedCoding(const FieldList &Fields);

/// Returns the end-to-end header fields: drops the hop-by-hop fields of RFC 9110, section 7.6.1,
/// the fields named in `Connection`, and the fields that frame the body. Thread-safe.
FieldList endToEndFields(const FieldList &Fields);

/// How the end of a message body is determined.
enum class BodyFraming { None, Length, Chunked, UntilClose };

/// Request line and header fields. Value type.
struct RequestHead {
  std::string Method;
  /// Path and query, exactly as received.
  std::string RequestTarget;
  bool IsHttp10 = false;
  /// The client keeps the connection open after the response.
  bool KeepAlive = true;
  FieldList Fields;

  auto operator<=>(const RequestHead &) const = default;
};

/// Memory that a request head takes, which is many times its size on the wire if it has many short
/// fields. Thread-safe.
std::size_t memoryOf(const RequestHead &Head);

/// Status line and header fields of a response. Value type.
struct ResponseHead {
  int Status = 0;
  std::string Reason;
  FieldList Fields;
  BodyFraming Framing = BodyFraming::None;
  /// Value of `Content-Length`; also set for a response to HEAD.
  std::optional<std::uint64_t> Length;

  /// Returns the first value of a header field, or an empty view if it is missing.
  std::string_view field(std::string_view Name) const { return findField(this->Fields, Name); }

  auto operator<=>(const ResponseHead &) const = default;
};

/// Serializes a request head including the empty line at its end. Adds `Content-Length` if there is
/// a body or the method usually has one. Thread-safe.
std::string writeRequestHead(const RequestHead &Head, std::size_t BodyBytes);

/// Serializes a response head including the empty line at its end. Adds the field that frames the
/// body, and `Connection: close` if `Close` is set. Precondition: the fields contain neither.
/// Thread-safe.
std::string writeResponseHead(const ResponseHead &Head, bool Close);

/// Serializes one chunk of a chunked body. Precondition: the text is not empty, because an empty
/// chunk ends the body. Thread-safe.
std::string writeChunk(std::string_view Text);
/// End of a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Returns the percent-decoded value of a query parameter of a request target, or an empty string
/// if it is missing. Thread-safe.
std::string queryParameter(std::string_view RequestTarget, std::string_view Name);

/// Returns the path of a request target. Thread-safe.
std::string_view pathWithoutQuery(std::string_view RequestTarget);

/// Returns the standard reason phrase of a status code. Thread-safe.
std::string reasonPhrase(int Status);

} // namespace anvilsaddle
