#include "protocol/RequestParser.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace anvilsaddle {

namespace http = boost::beast::http;

namespace {

constexpr int BadRequest = 400;
constexpr int ContentTooLarge = 413;
constexpr int RequestHeaderFieldsTooLarge = 431;
constexpr int NotImplemented = 501;
constexpr unsigned Http10 = 10;
/// Bodies of unknown length up to this size grow as strings do.
constexpr std::size_t MaxGrowingBodyBytes = std::size_t{64} * 1024;
/// Memory that the inner parser takes for a field besides its text.
constexpr std::size_t ParsedFieldBytes = 80;
/// Capacity that the buffer of unparsed bytes keeps when it is empty.
constexpr std::size_t MaxKeptCapacity = std::size_t{16} * 1024;

std::string toStdString(boost::beast::string_view Text) { return {Text.data(), Text.size()}; }

} // namespace

struct RequestParser::Parser {
  http::request_parser<http::string_body> Beast;
};

RequestParser::RequestParser(Limits SizeLimits) : SizeLimits(SizeLimits) { this->start(); }

RequestParser::~RequestParser() = default;

void RequestParser::start() {
  this->Inner = std::make_unique<Parser>();
  this->Inner->Beast.eager(true);
  this->IsHeadComplete = false;
  this->HeadMemory = 0;
  this->applyLimits();
}

void RequestParser::setLimits(Limits NewLimits) {
  this->SizeLimits = NewLimits;
  if (!this->IsHeadComplete) {
    this->applyLimits();
  }
}

void RequestParser::applyLimits() {
  this->Inner->Beast.header_limit(static_cast<std::uint32_t>(this->SizeLimits.HeadBytes));
  this->Inner->Beast.body_limit(this->SizeLimits.BodyBytes);
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
  // Parsed bytes are removed once at the end: removing them after each of thousands of tiny chunks
  // would move the rest of the buffer as often.
  std::size_t ParsedBytes = 0;
  const State Result = this->parseBuffer(ParsedBytes);
  if (!this->IsHeadComplete) {
    // The inner parser holds the fields that have arrived, also before the head is complete.
    const auto Lines =
        std::count(this->Buffer.begin(),
                   this->Buffer.begin() + static_cast<std::ptrdiff_t>(ParsedBytes), '\n');
    this->HeadMemory += ParsedBytes + static_cast<std::size_t>(Lines) * ParsedFieldBytes;
  }
  this->Buffer.erase(0, ParsedBytes);
  if (this->Buffer.empty() && this->Buffer.capacity() > MaxKeptCapacity) {
    std::string().swap(this->Buffer);
  }
  if (Result == State::Failed) {
    return Result;
  }
  if (!this->IsHeadComplete && this->Inner->Beast.is_header_done()) {
    if (const State HeadResult = this->finishHead(); HeadResult == State::Failed) {
      return HeadResult;
    }
  }
  return this->Inner->Beast.is_done() ? State::Complete : State::Incomplete;
}

RequestParser::State RequestParser::parseBuffer(std::size_t &ParsedBytes) {
  while (ParsedBytes < this->Buffer.size() && !this->Inner->Beast.is_done()) {
    const std::size_t Remaining = this->Buffer.size() - ParsedBytes;
    boost::beast::error_code ErrorCode;
    const std::size_t Count = this->Inner->Beast.put(
        boost::asio::const_buffer(this->Buffer.data() + ParsedBytes, Remaining), ErrorCode);
    ParsedBytes += Count;
    this->reserveAddressSpace();
    if (ErrorCode == http::error::need_more) {
      // The line of a chunk size with its extensions and the trailer section are only parsed once
      // they are complete.
      if (Remaining - Count > this->SizeLimits.HeadBytes) {
        return this->fail(RequestHeaderFieldsTooLarge, "a part of the request is too large");
      }
      break;
    }
    if (ErrorCode == http::error::header_limit) {
      return this->fail(RequestHeaderFieldsTooLarge, "the request head is too large");
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
  auto &Body = this->Inner->Beast.get().body();
  if (Body.size() > MaxGrowingBodyBytes && Body.capacity() < this->SizeLimits.BodyBytes &&
      this->Inner->Beast.chunked()) {
    Body.reserve(this->SizeLimits.BodyBytes);
  }
}

RequestParser::State RequestParser::finishHead() {
  const auto &Message = this->Inner->Beast.get();
  this->IsHeadComplete = true;
  this->Head = {};
  this->Head.Method = toStdString(Message.method_string());
  this->Head.RequestTarget = toStdString(Message.target());
  this->Head.IsHttp10 = Message.version() == Http10;
  this->Head.KeepAlive = Message.keep_alive();
  for (const auto &Field : Message) {
    this->Head.Fields.emplace_back(toStdString(Field.name_string()), toStdString(Field.value()));
  }
  // Both the inner parser and this object hold the fields.
  this->HeadMemory = 2 * memoryOf(this->Head) + this->Head.Fields.size() * ParsedFieldBytes;
  if (!hasOnlyChunkedCoding(this->Head.Fields)) {
    return this->fail(NotImplemented, "unknown transfer coding");
  }
  if (this->Head.RequestTarget.empty() || this->Head.RequestTarget.front() != '/') {
    return this->fail(BadRequest, "the request target is not a path");
  }
  return State::Incomplete;
}

std::string RequestParser::takeBody() { return std::move(this->Inner->Beast.get().body()); }

bool RequestParser::isReceivingBody() const {
  return this->IsHeadComplete && !this->Inner->Beast.is_done();
}

std::size_t RequestParser::bodyBytes() const { return this->Inner->Beast.get().body().size(); }

std::optional<std::uint64_t> RequestParser::announcedBodyBytes() const {
  const auto Length = this->Inner->Beast.content_length();
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

bool RequestParser::isStarted() const {
  return this->HasReceivedBytes && !this->Inner->Beast.is_done();
}

bool RequestParser::awaitsContinue() const {
  return this->IsHeadComplete && !this->Inner->Beast.is_done() && this->Buffer.empty() &&
         equalsIgnoreCase(findField(this->Head.Fields, "Expect"), "100-continue");
}

} // namespace anvilsaddle
