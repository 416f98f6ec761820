#pragma once

#include "coordination/publications/ConfigurationHistory.h"
#include "coordination/publications/PublicationLog.h"
#include "protocol/PublicationTraffic.h"
#include "state/Endpoint.h"
#include "state/SourcePosition.h"
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
/// `/publications?after=REVISION&epoch=EPOCH&configuration=VERSION`. An entry that names the
/// version of its configuration gets a compressed response with the difference to that version. Not
/// thread-safe.
class PublicationExchange final : public HttpHandler {
public:
  struct Callbacks {
    std::function<void(const PublicationBatch &, const FetchDetails &)> OnBatch;
    std::function<void(const std::string &Reason)> OnFailure;
    /// Returns the configuration in force; null if there is none yet.
    std::function<const Configuration *()> CurrentConfiguration;
    /// Returns the time for which this entry still delays removals after an outage of the source.
    std::function<Duration()> RemovalDelay;
  };

  /// Precondition: the log, the connections and the clock outlive the object.
  PublicationExchange(const PublicationLog &Log, ConnectionPool &Connections, const Clock &Time,
                      Callbacks Handlers);

  /// Records that a configuration comes into force. Must be called before it replaces `Old`, which
  /// is null if there is none yet.
  void onConfiguration(const Configuration *Old, const Configuration &Newer) {
    this->History.onConfiguration(Old, Newer);
  }

  /// Fetches the publications after this entry's position from another entry.
  void fetch(const Endpoint &Entry);
  const PublicationTraffic &traffic() const { return this->Traffic; }

  void onRequest(HttpExchange &Exchange) override;
  void onCallerDisconnected(HttpExchange &, CloseReason) override {}

private:
  void onFetched(const std::optional<HttpFetch::Result> &Response, const std::string &Reason);
  /// What an entry that fetches publications has already.
  struct KnownState {
    SourcePosition Position;
    /// Absent for entries of earlier versions, which understand neither the difference to a
    /// configuration nor a compressed response.
    std::optional<std::uint64_t> ConfigurationVersion;

    auto operator<=>(const KnownState &) const = default;
  };

  const std::string &encodedBatchSince(const KnownState &Known);
  std::optional<ConfigurationDelta> deltaSince(std::optional<std::uint64_t> KnownVersion) const;

  const PublicationLog &Log;
  ConfigurationHistory History;
  const Clock &Time;
  Callbacks Handlers;
  HttpFetch Fetch;
  Endpoint FetchedEntry;
  TimePoint FetchStart{};
  PublicationTraffic Traffic;
  /// Last response body. It is cached because many entries fetch the same changes after each
  /// revision.
  std::optional<KnownState> CachedSince;
  SourcePosition CachedPosition;
  Duration CachedRemovalDelay{0};
  bool IsCachedSnapshot = false;
  std::string CachedBatch;
};

} // namespace anvilsaddle
