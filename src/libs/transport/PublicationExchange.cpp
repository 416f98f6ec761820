#include "transport/PublicationExchange.h"

#include "protocol/HttpMessage.h"
#include "protocol/PublicationCodec.h"

#include <charconv>
#include <chrono>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view Path = "/publications";
/// Entries of a region are about a millisecond apart; a fetch that takes longer is tried at
/// another.
constexpr Duration FetchLimit = 600ms;
constexpr int OkStatus = 200;

} // namespace

PublicationExchange::PublicationExchange(const PublicationLog &Known, ConnectionPool &Connections,
                                         Events Reports)
    : Known(Known), Reports(std::move(Reports)),
      Fetch(Connections, [this](const std::optional<HttpFetch::Result> &End,
                                const std::string &Reason) { this->onFetched(End, Reason); }) {}

void PublicationExchange::fetch(const Endpoint &Entry) {
  this->Fetch.start(Entry, std::string(Path) + "?after=" + std::to_string(this->Known.revision()),
                    FetchLimit);
}

void PublicationExchange::onFetched(const std::optional<HttpFetch::Result> &End,
                                    const std::string &Reason) {
  if (!End || End->Status != OkStatus) {
    this->Reports.OnFailure(End ? "status " + std::to_string(End->Status) : Reason);
    return;
  }
  const auto Batch = readBatch(End->Body);
  if (!Batch) {
    this->Reports.OnFailure("the publications can't be read");
    return;
  }
  this->Reports.OnBatch(*Batch);
}

const std::string &PublicationExchange::textSince(std::int64_t Revision) {
  if (this->CachedSince != Revision || this->CachedRevision != this->Known.revision()) {
    PublicationBatch Batch = this->Known.batchSince(Revision);
    Batch.RemovalDelay = this->Reports.RemovalDelay();
    this->CachedText = writeBatch(Batch);
    this->CachedSince = Revision;
    this->CachedRevision = this->Known.revision();
  }
  return this->CachedText;
}

void PublicationExchange::onRequest(HttpExchange &Exchange) {
  if (pathWithoutQuery(Exchange.head().Target) != Path) {
    Exchange.respondText(404, "text/plain", "no such page\n");
    return;
  }
  const std::string After = queryParameter(Exchange.head().Target, "after");
  std::int64_t Revision = 0;
  std::from_chars(After.data(), After.data() + After.size(), Revision);
  Exchange.respondText(OkStatus, "application/octet-stream", this->textSince(Revision));
}

} // namespace anvilsaddle
