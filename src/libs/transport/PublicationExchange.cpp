#include "transport/PublicationExchange.h"

#include "protocol/Compression.h"
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
/// The latency between entries of a region is about a millisecond. A fetch that gets no bytes for
/// this time is retried at another entry.
constexpr Duration FetchIdleTimeout = 600ms;
/// While bytes arrive, a fetch continues: starting over would add load to a link that is already
/// full.
constexpr Duration FetchTimeout = 3s;
constexpr int StatusOk = 200;
constexpr const char *EncodingHeader = "Content-Encoding";
/// Content coding of HTTP for the zlib format.
constexpr const char *DeflateEncoding = "deflate";
/// Far more than the publications of a fleet of ten times the design size.
constexpr std::size_t MaxBatchBytes = std::size_t{64} << 20;

template <typename Number>
std::optional<Number> numberParameter(const RequestHead &Head, std::string_view Name) {
  const std::string Text = queryParameter(Head.RequestTarget, Name);
  Number Result = 0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Parsed.ec == std::errc() ? std::optional(Result) : std::nullopt;
}

/// Step in which a response states for how long removals are delayed, so that it can be cached.
constexpr Duration RemovalDelayStep = 100ms;

Duration roundedUp(Duration RemovalDelay) {
  return (RemovalDelay + RemovalDelayStep - Duration(1)) / RemovalDelayStep * RemovalDelayStep;
}

/// Returns the body without its content coding; nothing if it can't be decompressed.
std::optional<std::string> decodedBody(const HttpFetch::Result &Response) {
  if (findField(Response.Fields, EncodingHeader) != DeflateEncoding) {
    return Response.Body;
  }
  return decompress(Response.Body, MaxBatchBytes);
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
  const Configuration *Current = this->Handlers.CurrentConfiguration();
  this->Fetch.start(Entry,
                    std::string(PublicationsPath) + "?after=" + std::to_string(Known.Revision) +
                        "&epoch=" + std::to_string(Known.Epoch) +
                        "&configuration=" + std::to_string(Current ? Current->Version : 0),
                    FetchTimeout, FetchIdleTimeout);
}

void PublicationExchange::onFetched(const std::optional<HttpFetch::Result> &Response,
                                    const std::string &Reason) {
  if (!Response || Response->Status != StatusOk) {
    ++this->Traffic.FailedFetches;
    this->Handlers.OnFailure(Response ? "HTTP status " + std::to_string(Response->Status) : Reason);
    return;
  }
  this->Traffic.BytesIn += Response->Body.size();
  const auto Body = decodedBody(*Response);
  const auto Batch = Body ? readBatch(*Body, this->Handlers.CurrentConfiguration()) : std::nullopt;
  if (!Batch) {
    ++this->Traffic.FailedFetches;
    this->Handlers.OnFailure("the publications cannot be decoded");
    return;
  }
  this->Handlers.OnBatch(*Batch, {this->FetchedEntry.Address, Response->Body.size(),
                                  this->Time.now() - this->FetchStart});
}

std::optional<ConfigurationDelta>
PublicationExchange::deltaSince(std::optional<std::uint64_t> KnownVersion) const {
  const Configuration *Current = this->Handlers.CurrentConfiguration();
  return Current && KnownVersion ? this->History.deltaSince(*KnownVersion, *Current) : std::nullopt;
}

const std::string &PublicationExchange::encodedBatchSince(const KnownState &Known) {
  const Duration RemovalDelay = roundedUp(this->Handlers.RemovalDelay());
  if (this->CachedSince != Known || this->CachedPosition != this->Log.position() ||
      this->CachedRemovalDelay != RemovalDelay) {
    PublicationBatch Batch = this->Log.batchSince(Known.Position);
    Batch.RemovalDelay = RemovalDelay;
    this->CachedBatch = writeBatch(Batch, this->deltaSince(Known.ConfigurationVersion));
    if (Known.ConfigurationVersion) {
      this->CachedBatch = compress(this->CachedBatch);
    }
    this->IsCachedSnapshot = Batch.IsSnapshot;
    this->CachedSince = Known;
    this->CachedPosition = this->Log.position();
    this->CachedRemovalDelay = RemovalDelay;
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
  KnownState Known;
  // Entries of earlier versions send no epoch.
  Known.Position = {numberParameter<std::int64_t>(Exchange.head(), "epoch").value_or(0),
                    numberParameter<std::int64_t>(Exchange.head(), "after").value_or(0)};
  Known.ConfigurationVersion = numberParameter<std::uint64_t>(Exchange.head(), "configuration");
  ResponseHead Head;
  Head.Status = StatusOk;
  Head.Reason = reasonPhrase(StatusOk);
  Head.Fields = {{"Content-Type", "application/octet-stream"}};
  if (Known.ConfigurationVersion) {
    Head.Fields.emplace_back(EncodingHeader, DeflateEncoding);
  }
  Exchange.respond(std::move(Head), this->encodedBatchSince(Known));
}

} // namespace anvilsaddle
