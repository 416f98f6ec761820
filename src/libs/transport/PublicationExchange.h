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

/// Gives publications to other entries and gets them from others, at `/publications?after=R`. Not
/// thread-safe.
class PublicationExchange final : public HttpHandler {
public:
  struct Events {
    std::function<void(const PublicationBatch &)> OnBatch;
    std::function<void(const std::string &Reason)> OnFailure;
    /// Time for which removals still wait here after an outage of the source.
    std::function<Duration()> RemovalDelay;
  };

  /// Precondition: log and connections outlive the object.
  PublicationExchange(const PublicationLog &Known, ConnectionPool &Connections, Events Reports);

  /// Asks another entry for what was published after this entry's revision.
  void fetch(const Endpoint &Entry);

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &) override {}

private:
  void onFetched(const std::optional<HttpFetch::Result> &End, const std::string &Reason);
  const std::string &textSince(std::int64_t Revision);

  const PublicationLog &Known;
  Events Reports;
  HttpFetch Fetch;
  /// The last answer, as many entries ask for the same after each change.
  std::int64_t CachedSince = -1;
  std::int64_t CachedRevision = -1;
  std::string CachedText;
};

} // namespace anvilsaddle
