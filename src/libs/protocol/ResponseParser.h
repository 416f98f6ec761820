#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// How the stream of bytes from a peer ended.
enum class StreamEnd {
  /// The peer closed its sending side after its last byte.
  Closed,
  /// The connection failed. Bytes may be missing.
  Broken,
};

/// Parses one HTTP/1 response from bytes. Accepts only responses whose framing is unambiguous, and
/// reports a response as complete only if its end was received. Skips interim (1xx) responses. Not
/// thread-safe.
class ResponseParser {
public:
  explicit ResponseParser(bool IsResponseToHead);
  ~ResponseParser();
  ResponseParser(const ResponseParser &) = delete;
  ResponseParser &operator=(const ResponseParser &) = delete;

  /// Adds bytes from the connection.
  void add(std::string_view Bytes);
  /// No more bytes follow. This is the only place that decides whether the end of a stream
  /// completes a response: a response without a length is complete only if the peer closed the
  /// stream.
  void addEndOfStream(StreamEnd End);
  /// Parses the head. True once it is complete; false if more bytes are needed or on an error.
  bool parseHead();
  const ResponseHead &head() const { return this->Head; }
  /// Parses up to 64 KB of body and appends them to `Result`. Precondition: parseHead() returned
  /// true.
  void parseBody(std::string &Result);

  /// True once the whole response was parsed.
  bool isComplete() const;
  /// Text of an error after which nothing more is parsed; empty without an error.
  const std::string &error() const { return this->Error; }
  /// True if the connection may carry another request: complete, kept alive and without further
  /// bytes.
  bool isReusable() const;
  /// Returns a parser for the next response on the connection, with the bytes that are not parsed
  /// yet. Precondition: isComplete().
  std::unique_ptr<ResponseParser> takeNext();

private:
  class Parser;

  void startResponse();
  /// Checks the lines of the head that have arrived. Returns true once the head is complete and
  /// valid; nothing of it is parsed before.
  bool checkHead();
  /// Sets an error if the rest of the head can't follow. Returns false.
  bool failIncompleteHead();
  /// Returns the number of bytes parsed.
  std::size_t parse();

  bool IsResponseToHead;
  std::unique_ptr<Parser> Inner;
  std::string Buffer;
  std::optional<StreamEnd> End;
  /// Bytes of the head that checkHead() has accepted.
  std::size_t CheckedBytes = 0;
  bool IsHeadChecked = false;
  bool IsHeadComplete = false;
  ResponseHead Head;
  std::string Error;
};

} // namespace anvilsaddle
