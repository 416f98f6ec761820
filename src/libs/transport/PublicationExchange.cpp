#include "transport/PublicationExchange.h"

#include "protocol/HttpMessage.h"
#include "protocol/PublicationCodec.h"
#include "transport/Clock.h"

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
                                         const Clock &Time, Callbacks Handlers)
    : Log(Log), Time(Time), Handlers(std::move(Handlers)),
      Fetch(Connections, [this](const std::optional<HttpFetch::Result> &Response,
                                const std::string &Reason) { this->onFetched(Response, Reason); }) {
}

void PublicationExchange::fetch(const Endpoint &Entry) {
  ++this->Traffic.Fetches;
  this->FetchedEntry = Entry;
  this->FetchStart = this->Time.now();
  this->Fetch.start(
      Entry, std::string(PublicationsPath) + "?after=" + std::to_string(this->Log.revision()),
      FetchTimeout);
}

void PublicationExchange::onFetched(const std::optional<HttpFetch::Result> &Response,
                                    const std::string &Reason) {
  if (!Response || Response->Status != StatusOk) {
    ++this->Traffic.FailedFetches;
    this->Handlers.OnFailure(Response ? "HTTP status " + std::to_string(Response->Status) : Reason);
    return;
  }
  this->Traffic.BytesIn += Response->Body.size();
  const auto Batch = readBatch(Response->Body);
  if (!Batch) {
    ++this->Traffic.FailedFetches;
    this->Handlers.OnFailure("the publications cannot be decoded");
    return;
  }
  this->Handlers.OnBatch(*Batch, {this->FetchedEntry.Address, Response->Body.size(),
                                  this->Time.now() - this->FetchStart});
}

const std::string &PublicationExchange::encodedBatchSince(std::int64_t Revision) {
  if (this->CachedSince != Revision || this->CachedRevision != this->Log.revision()) {
    PublicationBatch Batch = this->Log.batchSince(Revision);
    Batch.RemovalDelay = this->Handlers.RemovalDelay();
    this->CachedBatch = writeBatch(Batch);
    this->IsCachedSnapshot = Batch.IsSnapshot;
    this->CachedSince = Revision;
    this->CachedRevision = this->Log.revision();
  }
  ++(this->IsCachedSnapshot ? this->Traffic.SnapshotsOut : this->Traffic.ChangesOut);
  this->Traffic.BytesOut += this->CachedBatch.size();
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
