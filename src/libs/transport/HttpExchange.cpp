#include "transport/HttpExchange.h"

#include "transport/HttpConnection.h"

#include <utility>

namespace anvilsaddle {

HttpExchange::HttpExchange(HttpConnection &Connection, RequestHead Head,
                           std::shared_ptr<const std::string> Body, TimePoint Received)
    : Connection(Connection), Request(std::move(Head)), RequestBody(std::move(Body)),
      ReceivedAt(Received) {}

void HttpExchange::respond(ResponseHead Head, std::string_view Body) {
  Head.Framing = BodyFraming::Length;
  if (!Head.Length) {
    Head.Length = Body.size();
  }
  this->appendHead(std::move(Head));
  this->appendBody(Body);
  this->end();
}

void HttpExchange::respondText(int Status, const char *ContentType, std::string_view Text) {
  ResponseHead Head;
  Head.Status = Status;
  Head.Reason = reasonPhrase(Status);
  Head.Fields = {{"Content-Type", ContentType}};
  this->respond(std::move(Head), Text);
}

void HttpExchange::begin(ResponseHead Head) {
  this->appendHead(std::move(Head));
  this->Connection.flush();
}

void HttpExchange::addBody(std::string_view Text) {
  this->appendBody(Text);
  this->Connection.flush();
}

void HttpExchange::releaseBody() {
  static const auto Empty = std::make_shared<const std::string>();
  this->RequestBody = Empty;
}

void HttpExchange::appendHead(ResponseHead Head) {
  this->releaseBody();
  if (Head.Framing == BodyFraming::UntilClose || Head.Framing == BodyFraming::Chunked) {
    // HTTP/1.0 has no chunked coding, so closing the connection marks the end of the body.
    Head.Framing = this->Request.IsHttp10 ? BodyFraming::UntilClose : BodyFraming::Chunked;
  }
  this->Framing = Head.Framing;
  this->CloseAfter = !this->Request.KeepAlive || Head.Framing == BodyFraming::UntilClose ||
                     this->Connection.shouldCloseAfter(*this);
  const std::int64_t ReuseSeconds = this->Connection.renewReuseTime().count();
  if (!this->CloseAfter && ReuseSeconds > 0) {
    Head.Fields.emplace_back("Keep-Alive", "timeout=" + std::to_string(ReuseSeconds));
  }
  this->Output += writeResponseHead(Head, this->CloseAfter);
}

void HttpExchange::appendBody(std::string_view Text) {
  const bool HasNoBody = this->Request.Method == "HEAD" || this->Framing == BodyFraming::None;
  if (Text.empty() || HasNoBody) {
    return;
  }
  if (this->Framing == BodyFraming::Chunked) {
    this->Output += writeChunk(Text);
  } else {
    this->Output += Text;
  }
}

void HttpExchange::end() {
  if (this->Framing == BodyFraming::Chunked && this->Request.Method != "HEAD") {
    this->Output += LastChunk;
  }
  this->Complete = true;
  this->Pending = false;
  this->OnDrained = nullptr;
  this->Connection.flush();
}

bool HttpExchange::abort(ResponseHead Head, std::string_view Text) {
  if (!this->HasSentBytes) {
    this->releaseOutput();
    this->respond(std::move(Head), Text);
    return true;
  }
  this->Pending = false;
  this->releaseBody();
  this->OnDrained = nullptr;
  this->Connection.reset();
  return false;
}

} // namespace anvilsaddle
