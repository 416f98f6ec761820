#include "protocol/RequestParser.h"

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
  while (!this->Buffer.empty() && !this->Inner->Beast.is_done()) {
    boost::beast::error_code ErrorCode;
    const std::size_t ParsedBytes = this->Inner->Beast.put(
        boost::asio::const_buffer(this->Buffer.data(), this->Buffer.size()), ErrorCode);
    this->Buffer.erase(0, ParsedBytes);
    if (ErrorCode == http::error::need_more) {
      // The line of a chunk size with its extensions and the trailer section are only parsed once
      // they are complete.
      if (this->Buffer.size() > this->SizeLimits.HeadBytes) {
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
    if (ParsedBytes == 0) {
      break;
    }
  }
  if (!this->IsHeadComplete && this->Inner->Beast.is_header_done()) {
    if (const State Result = this->finishHead(); Result == State::Failed) {
      return Result;
    }
  }
  return this->Inner->Beast.is_done() ? State::Complete : State::Incomplete;
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
  if (!hasOnlyChunkedCoding(this->Head.Fields)) {
    return this->fail(NotImplemented, "unknown transfer coding");
  }
  if (this->Head.RequestTarget.empty() || this->Head.RequestTarget.front() != '/') {
    return this->fail(BadRequest, "the request target is not a path");
  }
  return State::Incomplete;
}

std::string RequestParser::takeBody() { return std::move(this->Inner->Beast.get().body()); }

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
