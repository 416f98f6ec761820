#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace anvilsaddle {

/// Parses the HTTP/1 requests of one connection from bytes, one after the other. Accepts only
/// requests whose framing is unambiguous. Not thread-safe.
class RequestParser {
public:
  struct Limits {
    std::size_t HeadBytes = std::size_t{16} * 1024;
    std::size_t BodyBytes = std::size_t{64} << 20;
  };

  enum class State {
    /// More bytes are needed.
    Incomplete,
    Complete,
    /// errorStatus() tells the answer; nothing more is parsed.
    Failed,
  };

  explicit RequestParser(Limits Bounds);
  ~RequestParser();
  RequestParser(const RequestParser &) = delete;
  RequestParser &operator=(const RequestParser &) = delete;

  /// Adds bytes from the connection.
  void add(std::string_view Bytes);
  /// Parses as far as the bytes go.
  State parse();
  /// Head of the request. Precondition: parse() returned Complete.
  const RequestHead &head() const { return this->Head; }
  /// Body of the request, given once. Precondition: parse() returned Complete.
  std::string takeBody();
  /// Goes on to the next request. Precondition: parse() returned Complete.
  void next();

  /// True if bytes of a request have arrived that is not complete.
  bool isStarted() const;
  /// True if the sender waits for an interim answer before it sends the body.
  bool awaitsContinue() const;
  /// Bytes that are not parsed yet.
  std::size_t buffered() const { return this->Buffer.size(); }
  /// 400, 413, 431 or 501. Precondition: parse() returned Failed.
  int errorStatus() const { return this->ErrorStatus; }
  const std::string &errorText() const { return this->ErrorText; }

private:
  struct Parser;

  void start();
  State fail(int Status, std::string Text);
  State finishHead();

  Limits Bounds;
  std::unique_ptr<Parser> Inner;
  std::string Buffer;
  RequestHead Head;
  /// Bytes of a request arrived; the parser may have taken them from the buffer.
  bool Started = false;
  bool IsHeadComplete = false;
  int ErrorStatus = 0;
  std::string ErrorText;
};

} // namespace anvilsaddle
