#include "transport/PublicationExchange.h"

#include "protocol/HttpMessage.h"
#include "protocol/PublicationCodec.h"

#include <charconv>
#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view PublicationsPath = "/publications";
/// The latency between entries of a region is about a millisecond. A fetch that takes longer than
/// this is retried at another entry.
constexpr Duration FetchTimeout = 600ms;
constexpr int StatusOk = 200;

} // namespace

PublicationExchange::PublicationExchange(const PublicationLog &Log, ConnectionPool &Connections,
                                         Callbacks Handlers)
    : Log(Log), Handlers(std::move(Handlers)),
      Fetch(Connections, [this](const std::optional<HttpFetch::Result> &Response,
                                const std::string &Reason) { this->onFetched(Response, Reason); }) {
}

void PublicationExchange::fetch(const Endpoint &Entry) {
  this->Fetch.start(
      Entry, std::string(PublicationsPath) + "?after=" + std::to_string(this->Log.revision()),
      FetchTimeout);
}

void PublicationExchange::onFetched(const std::optional<HttpFetch::Result> &Response,
                                    const std::string &Reason) {
  if (!Response || Response->Status != StatusOk) {
    this->Handlers.OnFailure(Response ? "HTTP status " + std::to_string(Response->Status) : Reason);
    return;
  }
  const auto Batch = readBatch(Response->Body);
  if (!Batch) {
    this->Handlers.OnFailure("the publications cannot be decoded");
    return;
  }
  this->Handlers.OnBatch(*Batch);
}

const std::string &PublicationExchange::encodedBatchSince(std::int64_t Revision) {
  if (this->CachedSince != Revision || this->CachedRevision != this->Log.revision()) {
    PublicationBatch Batch = this->Log.batchSince(Revision);
    Batch.RemovalDelay = this->Handlers.RemovalDelay();
    this->CachedBatch = writeBatch(Batch);
    this->CachedSince = Revision;
    this->CachedRevision = this->Log.revision();
  }
  return this->CachedBatch;
}

void PublicationExchange::onRequest(HttpExchange &Exchange) {
  if (pathWithoutQuery(Exchange.head().RequestTarget) != PublicationsPath) {
    Exchange.respondText(404, "text/plain", "no such page\n");
    return;
  }
  const std::string AfterText = queryParameter(Exchange.head().RequestTarget, "after");
  std::int64_t Revision = 0;
  std::from_chars(AfterText.data(), AfterText.data() + AfterText.size(), Revision);
  Exchange.respondText(StatusOk, "application/octet-stream", this->encodedBatchSince(Revision));
}

} // namespace anvilsaddle
