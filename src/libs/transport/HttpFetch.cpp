#include "transport/HttpFetch.h"

#include "protocol/HttpMessage.h"
#include "transport/TargetConnections.h"

#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

/// Longest text that is accepted: the registrations and settings of a fleet ten times the design
/// scale.
constexpr std::size_t MaxBytes = std::size_t{16} << 20;
constexpr Duration MaxIdle = std::chrono::seconds(2);

} // namespace

HttpFetch::HttpFetch(TargetConnections &Connections, Callback OnEnd)
    : Connections(Connections), OnEnd(std::move(OnEnd)) {}

HttpFetch::~HttpFetch() { this->stop(); }

void HttpFetch::start(const Endpoint &Place, const std::string &Target, Duration Limit) {
  this->stop();
  this->Current = {};
  RequestHead Head;
  Head.Method = "GET";
  Head.Target = Target;
  Head.Fields = {{"Host", toString(Place)}};
  TargetRequest Request;
  Request.Destination = Place;
  Request.Head = writeRequestHead(Head, 0);
  Request.MaxIdle = MaxIdle;
  Request.DetectSilence = true;
  this->Call = std::make_unique<TargetCall>(this->Connections, std::move(Request), *this);
  this->Call->send();
  const std::int64_t Wait = toMilliseconds(Limit);
  this->Timer = g_timeout_add(static_cast<guint>(Wait), onTimeout, this);
}

void HttpFetch::stop() {
  g_clear_handle_id(&this->Timer, g_source_remove);
  this->Call.reset();
}

gboolean HttpFetch::onTimeout(gpointer Data) {
  auto &Self = *static_cast<HttpFetch *>(Data);
  Self.Timer = 0;
  Self.finish(std::nullopt, "no answer in time");
  return G_SOURCE_REMOVE;
}

void HttpFetch::finish(const std::optional<Result> &End, const std::string &Reason) {
  this->stop();
  this->OnEnd(End, Reason);
}

void HttpFetch::onCallHead(const ResponseHead &Head) {
  this->Current.Status = Head.Status;
  this->Call->readMore();
}

void HttpFetch::onCallBytes(std::string Bytes, bool IsEnd) {
  this->Current.Body += Bytes;
  if (this->Current.Body.size() > MaxBytes) {
    this->finish(std::nullopt, "the answer is too large");
    return;
  }
  if (!IsEnd) {
    this->Call->readMore();
    return;
  }
  this->finish(std::exchange(this->Current, {}), "");
}

void HttpFetch::onCallFailed(const std::string &Reason) { this->finish(std::nullopt, Reason); }

} // namespace anvilsaddle
