#include "protocol/ResponseParser.h"

#include "protocol/HeadGrammar.h"
#include "protocol/MessageParser.h"

#include <algorithm>
#include <new>

namespace anvilsaddle {

namespace http = boost::beast::http;

namespace {
constexpr std::size_t MaxHeadBytes = 65536;
constexpr std::size_t MaxBodyBytesPerCall = 65536;
/// Longest line of a chunk size with its extensions, and longest trailer section.
constexpr std::size_t MaxChunkPartBytes = 65536;
constexpr std::string_view LineEnd = "\r\n";
constexpr int FirstFinalStatus = 200;
constexpr int SwitchingProtocols = 101;
} // namespace

/// Collects the head of one response and appends its body to the text that startBody() names.
class ResponseParser::Parser final : public MessageParser<false> {
public:
  int status() const { return this->Status; }
  const std::string &reason() const { return this->Reason; }
  /// Takes up to `MaxBytes` of the body from now on. Precondition: `Result` outlives the calls of
  /// parsePart() that follow.
  void startBody(std::string &Result, std::size_t MaxBytes) {
    this->Body = &Result;
    this->FreeBytes = MaxBytes;
  }
  bool isBodyFull() const { return this->FreeBytes == 0; }

private:
  void on_request_impl(http::verb, StringView, StringView, int, ErrorCode &) override {}
  void on_response_impl(int Code, StringView Text, int, ErrorCode &) override {
    this->Status = Code;
    this->Reason.assign(Text.data(), Text.size());
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override {}
  std::size_t onBody(std::string_view Bytes) override {
    const std::size_t Count = std::min(Bytes.size(), this->FreeBytes);
    if (Count > 0) {
      this->Body->append(Bytes.substr(0, Count));
      this->FreeBytes -= Count;
    }
    return Count;
  }

  int Status = 0;
  std::string Reason;
  std::string *Body = nullptr;
  std::size_t FreeBytes = 0;
};

ResponseParser::ResponseParser(bool IsResponseToHead) : IsResponseToHead(IsResponseToHead) {
  this->startResponse();
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::startResponse() {
  this->Inner = std::make_unique<Parser>();
  this->Inner->body_limit(boost::none);
  this->Inner->skip(this->IsResponseToHead);
  this->CheckedBytes = 0;
  this->IsHeadChecked = false;
}

void ResponseParser::add(std::string_view Bytes) { this->Buffer += Bytes; }

void ResponseParser::addEndOfStream(StreamEnd End) { this->End = End; }

std::size_t ResponseParser::parse() {
  boost::beast::error_code Problem;
  const std::size_t MaxPartBytes = this->Inner->is_header_done() ? MaxChunkPartBytes : MaxHeadBytes;
  std::size_t Count = 0;
  try {
    Count = this->Inner->parsePart(this->Buffer, MaxPartBytes, Problem);
  } catch (const std::bad_alloc &) {
    // Targets decide on the sizes. The response is given up, so it doesn't matter what is missing.
    this->Error = "no memory is free for the response";
    return 0;
  }
  this->Buffer.erase(0, Count);
  const bool NeedsMoreBytes =
      Problem == http::error::need_more || (!Problem && this->Buffer.empty());
  if (this->End && NeedsMoreBytes && !this->Inner->is_done()) {
    if (*this->End == StreamEnd::Broken) {
      this->Error = "the connection broke before the response was complete";
      return Count;
    }
    Problem = {};
    this->Inner->put_eof(Problem);
  }
  if (Problem == http::error::header_limit) {
    this->Error = "a part of the response is too large";
  } else if (Problem && Problem != http::error::need_more) {
    this->Error = Problem.message();
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
    if (!this->Inner->is_header_done()) {
      return false;
    }
    const int Status = this->Inner->status();
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
    this->Head.Reason = this->Inner->reason();
    this->Head.Fields = this->Inner->takeFields();
    if (const auto Length = this->Inner->content_length()) {
      this->Head.Length = *Length;
    }
    if (!hasOnlyChunkedCoding(this->Head.Fields)) {
      this->Error = "unknown transfer coding";
      return false;
    }
    if (this->Inner->is_done() || this->IsResponseToHead) {
      this->Head.Framing = BodyFraming::None;
    } else if (this->Inner->chunked()) {
      this->Head.Framing = BodyFraming::Chunked;
    } else {
      this->Head.Framing = this->Head.Length ? BodyFraming::Length : BodyFraming::UntilClose;
    }
  }
  return this->IsHeadComplete && this->Error.empty();
}

void ResponseParser::parseBody(std::string &Result) {
  this->Inner->startBody(Result, MaxBodyBytesPerCall);
  while (!this->isComplete() && this->Error.empty() && !this->Inner->isBodyFull()) {
    const std::size_t Count = this->parse();
    if (Count == 0) {
      break;
    }
  }
}

bool ResponseParser::isComplete() const { return this->IsHeadComplete && this->Inner->is_done(); }

bool ResponseParser::isReusable() const {
  return this->isComplete() && this->Error.empty() && !this->End && this->Buffer.empty() &&
         !this->Inner->need_eof() && this->Inner->keep_alive();
}

std::unique_ptr<ResponseParser> ResponseParser::takeNext() {
  auto Result = std::make_unique<ResponseParser>(this->IsResponseToHead);
  Result->Buffer = std::move(this->Buffer);
  Result->End = this->End;
  return Result;
}

} // namespace anvilsaddle
