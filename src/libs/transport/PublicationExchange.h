#pragma once

#include "coordination/PublicationLog.h"
#include "state/Endpoint.h"
#include "transport/HttpExchange.h"
#include "transport/HttpFetch.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace anvilsaddle {

class ConnectionPool;

/// Serves publications to other entries and fetches them from other entries, at
/// `/publications?after=REVISION`. Not thread-safe.
class PublicationExchange final : public HttpHandler {
public:
  struct Callbacks {
    std::function<void(const PublicationBatch &)> OnBatch;
    std::function<void(const std::string &Reason)> OnFailure;
    /// Returns the time for which this entry still delays removals after an outage of the source.
    std::function<Duration()> RemovalDelay;
  };

  /// Precondition: the log and the connections outlive the object.
  PublicationExchange(const PublicationLog &Log, ConnectionPool &Connections, Callbacks Handlers);

  /// Fetches the publications after this entry's revision from another entry.
  void fetch(const Endpoint &Entry);

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &) override {}

private:
  void onFetched(const std::optional<HttpFetch::Result> &Response, const std::string &Reason);
  const std::string &encodedBatchSince(std::int64_t Revision);

  const PublicationLog &Log;
  Callbacks Handlers;
  HttpFetch Fetch;
  /// Last response body. It is cached because many entries fetch the same changes after each
  /// revision.
  std::int64_t CachedSince = -1;
  std::int64_t CachedRevision = -1;
  std::string CachedBatch;
};

} // namespace anvilsaddle
