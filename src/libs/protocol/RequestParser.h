#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace anvilsaddle {

/// Incremental parser of the consecutive HTTP/1 requests on one connection. Accepts only requests
/// whose framing is unambiguous. Not thread-safe.
class RequestParser {
public:
  struct Limits {
    std::size_t HeadBytes = std::size_t{16} * 1024;
    std::size_t BodyBytes = std::size_t{64} << 20;
    /// Largest address space that is reserved for a body. A longer one is copied while it grows.
    std::size_t ReservedBodyBytes = std::size_t{64} << 20;
  };

  enum class State {
    /// More bytes are needed.
    Incomplete,
    Complete,
    /// errorStatus() gives the status of the error response; nothing more is parsed.
    Failed,
  };

  explicit RequestParser(const Limits &SizeLimits);
  ~RequestParser();
  RequestParser(const RequestParser &) = delete;
  RequestParser &operator=(const RequestParser &) = delete;

  /// Sets the limits for requests whose head is not complete yet. A request whose body is being
  /// received keeps the limits by which it was accepted.
  void setLimits(const Limits &NewLimits);
  /// Appends bytes received from the connection.
  void add(std::string_view Bytes);
  /// Parses the buffered bytes, up to the end of the current request.
  State parse();
  /// Returns true if the head of the current request has been parsed.
  bool isHeadComplete() const { return this->IsHeadComplete; }
  /// Head of the request. Precondition: isHeadComplete().
  const RequestHead &head() const { return this->Head; }
  /// Moves the head of the request out. Precondition: parse() returned Complete.
  RequestHead takeHead() { return std::move(this->Head); }
  /// Moves the body of the request out. Precondition: parse() returned Complete.
  std::string takeBody();
  /// True while the head of the current request is complete and its body is not.
  bool isReceivingBody() const;
  /// Bytes of the body that have been received.
  std::size_t bodyBytes() const;
  /// Announced length of the body; nothing for a chunked one. Precondition: isReceivingBody().
  std::optional<std::uint64_t> announcedBodyBytes() const;
  /// Frees what has been received. Nothing may be parsed after this.
  void discard();
  /// Starts parsing the next request. Precondition: parse() returned Complete.
  void next();

  /// Returns true if a request was received in part, but not completely.
  bool isStarted() const;
  /// Returns true if the client waits for an interim (100 Continue) response before it sends the
  /// body.
  bool awaitsContinue() const;
  /// Number of bytes that are not parsed yet.
  std::size_t buffered() const { return this->Buffer.size(); }
  /// Memory of the bytes that are not parsed yet.
  std::size_t bufferMemory() const { return this->Buffer.capacity(); }
  /// Memory of the head of the current request, without its body.
  std::size_t headMemory() const { return this->HeadMemory; }
  /// Status of the error response: 400, 413, 431, 501, or 503 if no memory is free. Precondition:
  /// parse() returned Failed.
  int errorStatus() const { return this->ErrorStatus; }
  const std::string &errorText() const { return this->ErrorText; }

private:
  class Parser;

  void start();
  void applyLimits();
  State fail(int Status, std::string Text);
  State parseRequest();
  State finishHead();
  State parseBuffer(std::size_t &ParsedBytes);
  /// Gives a body of unknown length the address space of the largest one once it is no longer
  /// small.
  void reserveAddressSpace();

  Limits SizeLimits;
  std::unique_ptr<Parser> Inner;
  std::string Buffer;
  RequestHead Head;
  /// Memory of the head; while it is incomplete, of its lines that have arrived.
  std::size_t HeadMemory = 0;
  /// Bytes of the current request were received. The buffer may be empty nevertheless, because the
  /// parser has consumed them.
  bool HasReceivedBytes = false;
  bool IsHeadComplete = false;
  /// The address space of a body of unknown length has been reserved.
  bool HasReservedBody = false;
  int ErrorStatus = 0;
  std::string ErrorText;
};

} // namespace anvilsaddle
