#pragma once

#include "coordination/PublicationLog.h"
#include "protocol/PublicationTraffic.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/HttpExchange.h"
#include "transport/HttpFetch.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace anvilsaddle {

class Clock;
class ConnectionPool;

/// Origin and cost of fetched publications, for the log. Value type.
struct FetchDetails {
  std::string Entry;
  std::size_t Bytes = 0;
  Duration Elapsed{0};

  auto operator<=>(const FetchDetails &) const = default;
};

/// Serves publications to other entries and fetches them from other entries, at
/// `/publications?after=REVISION`. Not thread-safe.
class PublicationExchange final : public HttpHandler {
public:
  struct Callbacks {
    std::function<void(const PublicationBatch &, const FetchDetails &)> OnBatch;
    std::function<void(const std::string &Reason)> OnFailure;
    /// Returns the time for which this entry still delays removals after an outage of the source.
    std::function<Duration()> RemovalDelay;
  };

  /// Precondition: the log, the connections and the clock outlive the object.
  PublicationExchange(const PublicationLog &Log, ConnectionPool &Connections, const Clock &Time,
                      Callbacks Handlers);

  /// Fetches the publications after this entry's revision from another entry.
  void fetch(const Endpoint &Entry);
  const PublicationTraffic &traffic() const { return this->Traffic; }

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &, CloseReason) override {}

private:
  void onFetched(const std::optional<HttpFetch::Result> &Response, const std::string &Reason);
  const std::string &encodedBatchSince(std::int64_t Revision);

  const PublicationLog &Log;
  const Clock &Time;
  Callbacks Handlers;
  HttpFetch Fetch;
  Endpoint FetchedEntry;
  TimePoint FetchStart{};
  PublicationTraffic Traffic;
  /// Last response body. It is cached because many entries fetch the same changes after each
  /// revision.
  std::int64_t CachedSince = -1;
  std::int64_t CachedRevision = -1;
  bool IsCachedSnapshot = false;
  std::string CachedBatch;
};

} // namespace anvilsaddle
