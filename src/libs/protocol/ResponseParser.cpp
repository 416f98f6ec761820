#include "protocol/ResponseParser.h"

#include "protocol/HeadGrammar.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace anvilsaddle {

namespace http = boost::beast::http;

namespace {
constexpr std::uint32_t MaxHeadBytes = 65536;
constexpr std::size_t MaxBodyBytesPerCall = 65536;
/// Longest line of a chunk size with its extensions, and longest trailer section. They are only
/// parsed once they are complete.
constexpr std::size_t MaxUnparsedBytes = 65536;
constexpr std::string_view LineEnd = "\r\n";
constexpr int FirstFinalStatus = 200;
constexpr int SwitchingProtocols = 101;
} // namespace

struct ResponseParser::Parser {
  http::response_parser<http::buffer_body> Beast;
};

ResponseParser::ResponseParser(bool IsResponseToHead) : IsResponseToHead(IsResponseToHead) {
  this->startResponse();
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::startResponse() {
  this->Inner = std::make_unique<Parser>();
  this->Inner->Beast.header_limit(MaxHeadBytes);
  this->Inner->Beast.body_limit(boost::none);
  this->Inner->Beast.skip(this->IsResponseToHead);
  this->CheckedBytes = 0;
  this->IsHeadChecked = false;
}

void ResponseParser::add(std::string_view Bytes) { this->Buffer += Bytes; }

void ResponseParser::addEndOfStream(StreamEnd End) { this->End = End; }

std::size_t ResponseParser::parse() {
  boost::beast::error_code Problem;
  const std::size_t Count = this->Inner->Beast.put(
      boost::asio::const_buffer(this->Buffer.data(), this->Buffer.size()), Problem);
  this->Buffer.erase(0, Count);
  const bool NeedsMoreBytes =
      Problem == http::error::need_more || (!Problem && this->Buffer.empty());
  if (this->End && NeedsMoreBytes && !this->Inner->Beast.is_done()) {
    if (*this->End == StreamEnd::Broken) {
      this->Error = "the connection broke before the response was complete";
      return Count;
    }
    Problem = {};
    this->Inner->Beast.put_eof(Problem);
  }
  if (Problem && Problem != http::error::need_more && Problem != http::error::need_buffer) {
    this->Error = Problem.message();
  }
  if (Problem == http::error::need_more && this->Buffer.size() > MaxUnparsedBytes) {
    this->Error = "a part of the response is too large";
  }
  return Count;
}

bool ResponseParser::checkHead() {
  while (!this->IsHeadChecked && this->Error.empty()) {
    const std::string_view Unchecked = std::string_view(this->Buffer).substr(this->CheckedBytes);
    const std::size_t End = Unchecked.find(LineEnd);
    const bool IsStatusLine = this->CheckedBytes == 0;
    if (End == std::string_view::npos) {
      if (IsStatusLine) {
        this->Error = headgrammar::findProblemOfStatusLineStart(Unchecked);
      }
      return this->failIncompleteHead();
    }
    const std::string_view Line = Unchecked.substr(0, End);
    this->CheckedBytes += End + LineEnd.size();
    if (IsStatusLine) {
      this->Error = headgrammar::findProblemOfStatusLine(Line);
    } else if (Line.empty()) {
      this->IsHeadChecked = true;
    } else {
      this->Error = headgrammar::findProblemOfField(Line);
    }
  }
  return this->Error.empty();
}

bool ResponseParser::failIncompleteHead() {
  if (this->Error.empty() && this->Buffer.size() > MaxHeadBytes) {
    this->Error = "the response head is too large";
  }
  if (this->Error.empty() && this->End) {
    this->Error = "the connection closed before the response head was complete";
  }
  return false;
}

bool ResponseParser::parseHead() {
  while (!this->IsHeadComplete && this->Error.empty()) {
    if (!this->checkHead()) {
      return false;
    }
    this->parse();
    if (!this->Inner->Beast.is_header_done()) {
      return false;
    }
    const auto &Message = this->Inner->Beast.get();
    const int Status = static_cast<int>(Message.result_int());
    if (Status == SwitchingProtocols) {
      this->Error = "the target switched protocols although no upgrade was requested";
      return false;
    }
    if (Status < FirstFinalStatus) {
      this->startResponse();
      continue;
    }
    this->IsHeadComplete = true;
    this->Head.Status = Status;
    this->Head.Reason.assign(Message.reason().data(), Message.reason().size());
    for (const auto &Field : Message) {
      this->Head.Fields.emplace_back(
          std::string(Field.name_string().data(), Field.name_string().size()),
          std::string(Field.value().data(), Field.value().size()));
    }
    if (const auto Length = this->Inner->Beast.content_length()) {
      this->Head.Length = *Length;
    }
    if (!hasOnlyChunkedCoding(this->Head.Fields)) {
      this->Error = "unknown transfer coding";
      return false;
    }
    if (this->Inner->Beast.is_done() || this->IsResponseToHead) {
      this->Head.Framing = BodyFraming::None;
    } else if (this->Inner->Beast.chunked()) {
      this->Head.Framing = BodyFraming::Chunked;
    } else {
      this->Head.Framing = this->Head.Length ? BodyFraming::Length : BodyFraming::UntilClose;
    }
  }
  return this->IsHeadComplete && this->Error.empty();
}

void ResponseParser::parseBody(std::string &Result) {
  auto &Body = this->Inner->Beast.get().body();
  const std::size_t SizeBefore = Result.size();
  // The decoded data are never longer than their encoded form. One byte is added because the parser
  // takes a capacity of zero for a full buffer.
  const std::size_t Capacity = std::min(MaxBodyBytesPerCall, this->Buffer.size() + 1);
  Result.resize(SizeBefore + Capacity);
  Body.data = Result.data() + SizeBefore;
  Body.size = Capacity;
  Body.more = true;
  // Each call of put() stops after one structural element.
  while (!this->isComplete() && this->Error.empty() && Body.size > 0) {
    const std::size_t Count = this->parse();
    if (Count == 0) {
      break;
    }
  }
  Result.resize(SizeBefore + Capacity - Body.size);
}

bool ResponseParser::isComplete() const {
  return this->IsHeadComplete && this->Inner->Beast.is_done();
}

bool ResponseParser::isReusable() const {
  return this->isComplete() && this->Error.empty() && !this->End && this->Buffer.empty() &&
         !this->Inner->Beast.need_eof() && this->Inner->Beast.keep_alive();
}

std::unique_ptr<ResponseParser> ResponseParser::takeNext() {
  auto Result = std::make_unique<ResponseParser>(this->IsResponseToHead);
  Result->Buffer = std::move(this->Buffer);
  Result->End = this->End;
  return Result;
}

} // namespace anvilsaddle
