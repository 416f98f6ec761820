#include "transport/HttpFetch.h"

#include "transport/ConnectionPool.h"

#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

/// Holds the registrations and settings of a fleet of ten times the design size.
constexpr std::size_t MaxBodyBytes = std::size_t{16} << 20;
/// Longer bodies are received with a large buffer.
constexpr std::size_t MaxShortBodyBytes = std::size_t{16} * 1024;
constexpr Duration MaxReuseIdleTime = std::chrono::seconds(2);

} // namespace

HttpFetch::HttpFetch(ConnectionPool &Pool, Callback OnEnd) : Pool(Pool), OnEnd(std::move(OnEnd)) {}

HttpFetch::~HttpFetch() { this->cancel(); }

void HttpFetch::start(const Endpoint &Server, const std::string &Path, Duration Timeout,
                      Duration MaxIdle) {
  this->cancel();
  this->Partial = {};
  RequestHead Head;
  Head.Method = "GET";
  Head.RequestTarget = Path;
  Head.Fields = {{"Host", toString(Server)}};
  OutgoingRequest Request;
  Request.Destination = Server;
  Request.Head = writeRequestHead(Head, 0);
  Request.MaxIdleTime = MaxReuseIdleTime;
  Request.DetectDeadPeer = true;
  this->Call = std::make_unique<HttpCall>(this->Pool, std::move(Request), *this);
  this->Call->send();
  this->Timer.callAfter(Timeout, [this] { this->finish(std::nullopt, "response timeout"); });
  this->IdleTimeout = MaxIdle;
  this->restartIdleTimer();
}

void HttpFetch::cancel() {
  this->Timer.cancel();
  this->IdleTimer.cancel();
  this->Call.reset();
}

void HttpFetch::restartIdleTimer() {
  if (this->IdleTimeout == Duration::max()) {
    return;
  }
  this->IdleTimer.callAfter(
      this->IdleTimeout, [this] { this->finish(std::nullopt, "no bytes of the response arrive"); });
}

void HttpFetch::finish(const std::optional<Result> &Response, const std::string &Reason) {
  this->cancel();
  this->OnEnd(Response, Reason);
}

void HttpFetch::onResponseHead(const ResponseHead &Head) {
  this->Partial.Status = Head.Status;
  this->Partial.Fields = Head.Fields;
  this->restartIdleTimer();
  if (Head.Length.value_or(MaxBodyBytes) > MaxShortBodyBytes) {
    this->Call->receiveFaster();
  }
  this->Call->readMore();
}

void HttpFetch::onResponseBody(std::string Bytes, bool IsEnd) {
  this->Partial.Body += Bytes;
  this->restartIdleTimer();
  if (this->Partial.Body.size() > MaxBodyBytes) {
    this->finish(std::nullopt, "the response is too large");
    return;
  }
  if (!IsEnd) {
    this->Call->readMore();
    return;
  }
  this->finish(std::exchange(this->Partial, {}), "");
}

void HttpFetch::onCallFailed(const std::string &Reason) { this->finish(std::nullopt, Reason); }

} // namespace anvilsaddle
