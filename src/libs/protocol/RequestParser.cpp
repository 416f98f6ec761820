#include "protocol/RequestParser.h"

#include "protocol/MessageParser.h"

#include <algorithm>
#include <new>
#include <utility>

namespace anvilsaddle {

namespace http = boost::beast::http;

namespace {

constexpr int BadRequest = 400;
constexpr int ContentTooLarge = 413;
constexpr int RequestHeaderFieldsTooLarge = 431;
constexpr int NotImplemented = 501;
constexpr int Unavailable = 503;
constexpr int Http10 = 10;
/// Bodies of unknown length up to this size grow as strings do.
constexpr std::size_t MaxGrowingBodyBytes = std::size_t{64} * 1024;
/// Capacity that the buffer of unparsed bytes keeps when it is empty.
constexpr std::size_t MaxKeptCapacity = std::size_t{16} * 1024;

} // namespace

/// Collects the head and the body of one request.
class RequestParser::Parser final : public MessageParser<true> {
public:
  const std::string &body() const { return this->Body; }
  std::string takeBody() { return std::move(this->Body); }
  /// Moves out the head. Precondition: it is complete.
  RequestHead takeHead() {
    this->Head.KeepAlive = this->keep_alive();
    this->Head.Fields = this->takeFields();
    return std::move(this->Head);
  }
  /// Memory of the head, as far as it has arrived.
  std::size_t headMemory() const { return memoryOf(this->Head) + this->fieldMemory(); }
  /// Sets the largest address space that reserveBody() takes.
  void setMaxReservedBytes(std::size_t Bytes) { this->MaxReservedBytes = Bytes; }
  /// Gives the body address space, so that it is not copied while it grows up to this size. Pages
  /// that are not written take no memory. Without free address space, the body grows as strings do.
  void reserveBody(std::uint64_t Bytes) {
    try {
      this->Body.reserve(std::min<std::uint64_t>(Bytes, this->MaxReservedBytes));
    } catch (const std::bad_alloc &) {
      return;
    }
  }

private:
  void on_request_impl(http::verb, StringView Method, StringView Target, int Version,
                       ErrorCode &) override {
    this->Head.Method.assign(Method.data(), Method.size());
    this->Head.RequestTarget.assign(Target.data(), Target.size());
    this->Head.IsHttp10 = Version == Http10;
  }
  void on_response_impl(int, StringView, int, ErrorCode &) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length, ErrorCode &) override {
    if (Length) {
      this->reserveBody(*Length);
    }
  }
  std::size_t onBody(std::string_view Bytes) override {
    this->Body += Bytes;
    return Bytes.size();
  }

  RequestHead Head;
  std::string Body;
  std::size_t MaxReservedBytes = 0;
};

RequestParser::RequestParser(const Limits &SizeLimits) : SizeLimits(SizeLimits) { this->start(); }

RequestParser::~RequestParser() = default;

void RequestParser::start() {
  this->Inner = std::make_unique<Parser>();
  this->IsHeadComplete = false;
  this->HasReservedBody = false;
  this->HeadMemory = 0;
  this->applyLimits();
}

void RequestParser::setLimits(const Limits &NewLimits) {
  this->SizeLimits = NewLimits;
  if (!this->IsHeadComplete) {
    this->applyLimits();
  }
}

void RequestParser::applyLimits() {
  this->Inner->body_limit(this->SizeLimits.BodyBytes);
  this->Inner->setMaxReservedBytes(this->SizeLimits.ReservedBodyBytes);
}

RequestParser::State RequestParser::fail(int Status, std::string Text) {
  this->ErrorStatus = Status;
  this->ErrorText = std::move(Text);
  return State::Failed;
}

RequestParser::State RequestParser::parse() {
  if (this->ErrorStatus != 0) {
    return State::Failed;
  }
  try {
    return this->parseRequest();
  } catch (const std::bad_alloc &) {
    // Callers decide on the sizes. The request is given up, so it doesn't matter what is missing.
    return this->fail(Unavailable, "no memory is free for the request");
  }
}

RequestParser::State RequestParser::parseRequest() {
  // Parsed bytes are removed once at the end: removing them after each of thousands of tiny chunks
  // would move the rest of the buffer as often.
  std::size_t ParsedBytes = 0;
  const State Result = this->parseBuffer(ParsedBytes);
  if (!this->IsHeadComplete) {
    this->HeadMemory = this->Inner->headMemory();
  }
  this->Buffer.erase(0, ParsedBytes);
  if (this->Buffer.empty() && this->Buffer.capacity() > MaxKeptCapacity) {
    std::string().swap(this->Buffer);
  }
  if (Result == State::Failed) {
    return Result;
  }
  if (!this->IsHeadComplete && this->Inner->is_header_done()) {
    if (const State HeadResult = this->finishHead(); HeadResult == State::Failed) {
      return HeadResult;
    }
  }
  return this->Inner->is_done() ? State::Complete : State::Incomplete;
}

RequestParser::State RequestParser::parseBuffer(std::size_t &ParsedBytes) {
  while (ParsedBytes < this->Buffer.size() && !this->Inner->is_done()) {
    boost::beast::error_code ErrorCode;
    const std::size_t Count = this->Inner->parsePart(
        std::string_view(this->Buffer).substr(ParsedBytes), this->SizeLimits.HeadBytes, ErrorCode);
    ParsedBytes += Count;
    this->reserveAddressSpace();
    if (ErrorCode == http::error::need_more) {
      break;
    }
    if (ErrorCode == http::error::header_limit) {
      return this->fail(RequestHeaderFieldsTooLarge, "a part of the request is too large");
    }
    if (ErrorCode == http::error::body_limit) {
      return this->fail(ContentTooLarge, "the request body is too large");
    }
    if (ErrorCode) {
      return this->fail(BadRequest, "malformed request: " + ErrorCode.message());
    }
    if (Count == 0) {
      break;
    }
  }
  return State::Incomplete;
}

void RequestParser::reserveAddressSpace() {
  const bool IsLarge = this->Inner->body().size() > MaxGrowingBodyBytes;
  if (IsLarge && this->Inner->chunked() && !std::exchange(this->HasReservedBody, true)) {
    this->Inner->reserveBody(this->SizeLimits.BodyBytes);
  }
}

RequestParser::State RequestParser::finishHead() {
  this->IsHeadComplete = true;
  this->Head = this->Inner->takeHead();
  this->HeadMemory = memoryOf(this->Head);
  if (!hasOnlyChunkedCoding(this->Head.Fields)) {
    return this->fail(NotImplemented, "unknown transfer coding");
  }
  if (this->Head.RequestTarget.empty() || this->Head.RequestTarget.front() != '/') {
    return this->fail(BadRequest, "the request target is not a path");
  }
  return State::Incomplete;
}

std::string RequestParser::takeBody() { return this->Inner->takeBody(); }

bool RequestParser::isReceivingBody() const {
  return this->IsHeadComplete && !this->Inner->is_done();
}

std::size_t RequestParser::bodyBytes() const { return this->Inner->body().size(); }

std::optional<std::uint64_t> RequestParser::announcedBodyBytes() const {
  const auto Length = this->Inner->content_length();
  return Length ? std::optional<std::uint64_t>(*Length) : std::nullopt;
}

void RequestParser::discard() {
  this->Inner = std::make_unique<Parser>();
  this->Head = {};
  this->HeadMemory = 0;
  std::string().swap(this->Buffer);
}

void RequestParser::add(std::string_view Bytes) {
  this->HasReceivedBytes = this->HasReceivedBytes || !Bytes.empty();
  this->Buffer += Bytes;
}

void RequestParser::next() {
  this->start();
  this->HasReceivedBytes = !this->Buffer.empty();
}

bool RequestParser::isStarted() const { return this->HasReceivedBytes && !this->Inner->is_done(); }

bool RequestParser::awaitsContinue() const {
  return this->IsHeadComplete && !this->Inner->is_done() && this->Buffer.empty() &&
         equalsIgnoreCase(findField(this->Head.Fields, "Expect"), "100-continue");
}

} // namespace anvilsaddle
