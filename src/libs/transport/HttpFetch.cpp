#include "transport/HttpFetch.h"

#include "transport/ConnectionPool.h"

#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

/// Holds the registrations and settings of a fleet of ten times the design size.
constexpr std::size_t MaxBodyBytes = std::size_t{16} << 20;
constexpr Duration MaxReuseIdleTime = std::chrono::seconds(2);

} // namespace

HttpFetch::HttpFetch(ConnectionPool &Pool, Callback OnEnd) : Pool(Pool), OnEnd(std::move(OnEnd)) {}

HttpFetch::~HttpFetch() { this->cancel(); }

void HttpFetch::start(const Endpoint &Server, const std::string &Path, Duration Timeout) {
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
  const std::int64_t TimeoutMilliseconds = toMilliseconds(Timeout);
  this->Timer = g_timeout_add(static_cast<guint>(TimeoutMilliseconds), onTimeout, this);
}

void HttpFetch::cancel() {
  g_clear_handle_id(&this->Timer, g_source_remove);
  this->Call.reset();
}

gboolean HttpFetch::onTimeout(gpointer Data) {
  auto &Self = *static_cast<HttpFetch *>(Data);
  Self.Timer = 0;
  Self.finish(std::nullopt, "response timeout");
  return G_SOURCE_REMOVE;
}

void HttpFetch::finish(const std::optional<Result> &Response, const std::string &Reason) {
  this->cancel();
  this->OnEnd(Response, Reason);
}

void HttpFetch::onResponseHead(const ResponseHead &Head) {
  this->Partial.Status = Head.Status;
  this->Partial.Fields = Head.Fields;
  this->Call->readMore();
}

void HttpFetch::onResponseBody(std::string Bytes, bool IsEnd) {
  this->Partial.Body += Bytes;
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
