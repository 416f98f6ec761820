#include "transport/PublicationExchange.h"

#include "protocol/HttpMessage.h"
#include "protocol/PublicationCodec.h"
#include "transport/Clock.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view PublicationsPath = "/publications";
/// The latency between entries of a region is about a millisecond. A fetch that takes longer than
/// this is retried at another entry.
constexpr Duration FetchTimeout = 600ms;
constexpr int StatusOk = 200;

/// Returns 0 if the parameter is missing or not a number.
std::int64_t numericParameter(const std::string &RequestTarget, std::string_view Name) {
  const std::string Text = queryParameter(RequestTarget, Name);
  std::int64_t Result = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Result;
}

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
  const SourcePosition &Known = this->Log.position();
  this->Fetch.start(Entry,
                    std::string(PublicationsPath) + "?after=" + std::to_string(Known.Revision) +
                        "&epoch=" + std::to_string(Known.Epoch),
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

const std::string &PublicationExchange::encodedBatchSince(const SourcePosition &Known) {
  if (this->CachedSince != Known || this->CachedPosition != this->Log.position()) {
    PublicationBatch Batch = this->Log.batchSince(Known);
    Batch.RemovalDelay = this->Handlers.RemovalDelay();
    this->CachedBatch = writeBatch(Batch);
    this->IsCachedSnapshot = Batch.IsSnapshot;
    this->CachedSince = Known;
    this->CachedPosition = this->Log.position();
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
  // Entries of earlier versions send no epoch.
  const SourcePosition Known{numericParameter(Exchange.head().RequestTarget, "epoch"),
                             numericParameter(Exchange.head().RequestTarget, "after")};
  Exchange.respondText(StatusOk, "application/octet-stream", this->encodedBatchSince(Known));
}

} // namespace anvilsaddle
