#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Incremental parser of one HTTP/1 response. Accepts only responses whose framing is unambiguous,
/// and reports a response as complete only once its end was received. Skips interim (1xx)
/// responses. Not thread-safe.
class ResponseParser {
public:
  explicit ResponseParser(bool IsResponseToHead);
  ~ResponseParser();
  ResponseParser(const ResponseParser &) = delete;
  ResponseParser &operator=(const ResponseParser &) = delete;

  /// Appends bytes received from the connection.
  void add(std::string_view Bytes);
  /// Signals that the peer closed the connection.
  void addEndOfStream();
  /// Parses the head. Returns true once it is complete, and false if more bytes are needed or after
  /// an error.
  bool parseHead();
  const ResponseHead &head() const { return this->Head; }
  /// Parses up to 64 KB of the body and appends them to `Result`. Precondition: parseHead()
  /// returned true.
  void parseBody(std::string &Result);

  /// Returns true once the complete response was parsed.
  bool isComplete() const;
  /// Error message, or empty if there was no error. Nothing is parsed after an error.
  const std::string &error() const { return this->Error; }
  /// Returns true if the connection can be reused for another request: the response is complete,
  /// keeps the connection alive, and no further bytes were received.
  bool isReusable() const;
  /// Returns a parser for the next response on the connection, which takes over the bytes that are
  /// not parsed yet. Precondition: isComplete().
  std::unique_ptr<ResponseParser> takeNext();

private:
  struct Parser;

  void startResponse();
  /// Returns the number of parsed bytes.
  std::size_t parse();

  bool IsResponseToHead;
  std::unique_ptr<Parser> Impl;
  std::string Buffer;
  bool IsEndOfStream = false;
  bool IsHeadComplete = false;
  ResponseHead Head;
  std::string Error;
};

} // namespace anvilsaddle
