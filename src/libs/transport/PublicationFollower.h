#pragma once

#include "coordination/membership/Membership.h"
#include "coordination/publications/PublicationDistributor.h"
#include "coordination/publications/PublicationLog.h"
#include "coordination/publications/PublicationSource.h"
#include "protocol/PublicationTraffic.h"
#include "state/Publication.h"
#include "state/SourcePosition.h"
#include "state/Time.h"
#include "state/Topology.h"
#include "transport/PublicationExchange.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

class ChangeRecorder;
class Clock;
class ConnectionPool;
class HttpHandler;
class PublicationConsumer;
class TargetTable;

/// Follows the publications and puts them into force.
///
/// Each publication takes the same path, whether it comes from the source or from another entry:
/// PublicationLog decides whether it is new, ChangeRecorder records it, PublicationConsumer and
/// TargetTable put it into force, and PublicationDistributor decides who is told about it and what
/// to fetch or read next. Not thread-safe.
class PublicationFollower final : public PublicationListener {
public:
  /// Precondition: all objects outlive the follower.
  struct Dependencies {
    PublicationSource &Source;
    ConnectionPool &Connections;
    const Clock &Time;
    TargetTable &Targets;
    ChangeRecorder &Changes;
    PublicationConsumer &Consumer;
  };

  /// The address of this entry, and the port at which every entry serves its publications.
  struct Settings {
    std::string Self;
    Topology FleetTopology;
    std::uint16_t ControlPort = 0;
  };

  /// Neither calls the consumer nor activates the source. Precondition: the source calls its
  /// listener no more once the follower is destroyed.
  PublicationFollower(const Settings &Values, const Dependencies &Deps);
  PublicationFollower(const PublicationFollower &) = delete;
  PublicationFollower &operator=(const PublicationFollower &) = delete;

  /// Sets the live entries of the fleet, including this one.
  void setEntries(std::vector<EntryRecord> Live) { this->Distributor.setEntries(std::move(Live)); }
  /// Another entry says up to which position it has read the source, or asks for it.
  void onMessage(const std::string &Sender, const PublicationMessage &Message);
  /// Must be called several times per second.
  void onTick();

  /// Position up to which this entry has all publications.
  const SourcePosition &position() const { return this->Log.position(); }
  /// True once all publications have been received at least once.
  bool hasSnapshot() const { return this->HasSnapshot; }
  PublicationTraffic traffic() const;
  /// Serves the publications to other entries.
  HttpHandler &requestHandler() { return this->Exchange; }

  void onPublications(const PublicationBatch &Batch, std::optional<TimePoint> AsOf) override;
  void onSourceUpToDate(const SourcePosition &Position, TimePoint AsOf) override;
  void onInvalidPublication(const Diagnostic &Problem) override;
  void onSourceUnavailable(const std::string &Reason) override;
  void onSourceRecovered(Duration Outage) override;
  std::optional<TimePoint> knownAsOf() const override { return this->Distributor.knownAsOf(); }

private:
  PublicationExchange::Callbacks makeExchangeCallbacks();
  TimePoint now() const;
  void onSourceResponse(const SourcePosition &Position, std::optional<TimePoint> AsOf);
  void onFetched(const PublicationBatch &Batch, const FetchDetails &Details);
  void onFetchFailed(const std::string &Reason);

  /// `Source` is the origin of the publications, for the log: an entry's address, or the store.
  void applyBatch(const PublicationBatch &Batch, const std::string &Source);
  void applyChanges(const PublicationBatch &Batch, const std::string &Source);
  void applyConfiguration(const Configuration &Newer, const std::string &Source);
  /// Logs when what this entry knows becomes outdated, and when it no longer is.
  void recordOutdated();
  void logPassedOver(const PublicationBatch &Batch) const;
  void logRestore(const SourcePosition &Before, const std::string &Source) const;

  void applyDistributionEffects();
  void applyEffect(const SetSourceReading &Reading);
  void applyEffect(const SendNotice &Outgoing);
  void applyEffect(const SendNoticeRequest &Outgoing);
  void applyEffect(const SendNoticeReply &Outgoing);
  void applyEffect(const FetchPublications &Fetch);
  /// Applies the effects of an event that may also have changed what is known.
  void applyDistribution();

  Dependencies Deps;
  std::uint16_t ControlPort;
  PublicationLog Log;
  PublicationDistributor Distributor;
  PublicationExchange Exchange;
  bool HasSnapshot = false;
  bool IsOutdated = false;
  /// True from the first request to other regions until the source responds.
  bool IsAskingOtherRegions = false;
  std::uint64_t NoticeRequestCount = 0;
  std::uint64_t NoticeReplyCount = 0;
};

} // namespace anvilsaddle
