#include "transport/PublicationFollower.h"

#include "coordination/dispatch/TargetTable.h"
#include "coordination/publications/PropagationBound.h"
#include "transport/ChangeRecorder.h"
#include "transport/Clock.h"
#include "transport/EventLog.h"
#include "transport/PublicationConsumer.h"
#include "transport/RequestLogFields.h"

#include <utility>
#include <variant>

namespace anvilsaddle {

namespace {

/// Name of the source in log lines about the origin of publications.
constexpr const char *StoreName = "store";

void logFetched(const PublicationBatch &Batch, const FetchDetails &Details) {
  logStateChange("publications_fetched",
                 {{"entry", Details.Entry},
                  {"content", Batch.IsSnapshot ? "snapshot" : "changes"},
                  {"epoch", std::to_string(Batch.Epoch)},
                  {"revision", std::to_string(Batch.Revision)},
                  {"changes", std::to_string(Batch.Changes.size())},
                  {"bytes", std::to_string(Details.Bytes)},
                  {"after_ms", std::to_string(toMilliseconds(Details.Elapsed))}});
}

} // namespace

PublicationFollower::PublicationFollower(const Settings &Values, const Dependencies &Deps)
    : Deps(Deps), ControlPort(Values.ControlPort),
      Distributor(Values.Self, Values.FleetTopology, Deps.Time.now()),
      Exchange(this->Log, Deps.Connections, Deps.Time, this->makeExchangeCallbacks()) {}

PublicationExchange::Callbacks PublicationFollower::makeExchangeCallbacks() {
  return {[this](const PublicationBatch &Batch, const FetchDetails &Details) {
            this->onFetched(Batch, Details);
          },
          [this](const std::string &Reason) { this->onFetchFailed(Reason); },
          [this] { return this->Deps.Consumer.configuration(); },
          [this] { return this->Deps.Targets.removalDelay(this->now()); }};
}

PublicationTraffic PublicationFollower::traffic() const {
  PublicationTraffic Result = this->Exchange.traffic();
  Result.NoticeRequests = this->NoticeRequestCount;
  Result.NoticeReplies = this->NoticeReplyCount;
  return Result;
}

TimePoint PublicationFollower::now() const { return this->Deps.Time.now(); }

// Events

void PublicationFollower::onMessage(const std::string &Sender, const PublicationMessage &Message) {
  if (const auto *Notice = std::get_if<RevisionNotice>(&Message)) {
    this->Distributor.onNotice(Sender, *Notice, this->now());
  } else if (const auto *Request = std::get_if<NoticeRequest>(&Message)) {
    this->Distributor.onNoticeRequest(Sender, *Request, this->now());
  } else {
    ++this->NoticeReplyCount;
    this->Distributor.onNoticeReply(Sender, std::get<NoticeReply>(Message), this->now());
  }
  this->applyDistribution();
}

void PublicationFollower::onTick() {
  this->Distributor.onTick(this->now());
  this->applyDistributionEffects();
  this->recordOutdated();
}

void PublicationFollower::onPublications(const PublicationBatch &Batch,
                                         std::optional<TimePoint> AsOf) {
  this->applyBatch(Batch, StoreName);
  this->onSourceResponse(this->Log.position(), AsOf);
}

void PublicationFollower::onSourceUpToDate(const SourcePosition &Position, TimePoint AsOf) {
  this->onSourceResponse(Position, AsOf);
}

void PublicationFollower::onInvalidPublication(const Diagnostic &Problem) {
  logEvent(LogLevel::Warning, "publication_unreadable",
           {{"item", Problem.Path}, {"reason", Problem.Message}});
}

void PublicationFollower::onSourceUnavailable(const std::string &Reason) {
  logEvent(LogLevel::Warning, "store_lost", {{"reason", Reason}});
  this->Distributor.onSourceUnavailable();
}

void PublicationFollower::onSourceRecovered(Duration Outage) {
  logStateChange("store_returned", {{"outage_ms", std::to_string(toMilliseconds(Outage))},
                                    {"known_epoch", std::to_string(this->Log.position().Epoch)},
                                    {"known", std::to_string(this->Log.position().Revision)}});
  this->Deps.Targets.onSourceRecovered(Outage, this->now());
}

void PublicationFollower::onSourceResponse(const SourcePosition &Position,
                                           std::optional<TimePoint> AsOf) {
  this->IsAskingOtherRegions = false;
  this->Distributor.onSourceResponse(Position, AsOf, this->now());
  this->applyDistribution();
}

void PublicationFollower::onFetched(const PublicationBatch &Batch, const FetchDetails &Details) {
  logFetched(Batch, Details);
  this->applyBatch(Batch, Details.Entry);
  this->Distributor.onFetched(this->Log.position(), this->now());
  this->applyDistribution();
}

void PublicationFollower::onFetchFailed(const std::string &Reason) {
  logStateChange("fetch_failed", {{"reason", Reason}});
  this->Distributor.onFetchFailed(this->now());
}

// Putting publications into force

void PublicationFollower::applyBatch(const PublicationBatch &Batch, const std::string &Source) {
  const bool IsRestored = this->Log.isRestoredBy(Batch);
  const SourcePosition Before = this->Log.position();
  if (!this->Log.apply(Batch)) {
    this->logPassedOver(Batch);
    return;
  }
  this->applyChanges(Batch, Source);
  if (IsRestored) {
    this->logRestore(Before, Source);
  }
  this->HasSnapshot = this->HasSnapshot || Batch.IsSnapshot;
  this->Deps.Consumer.onPublicationsApplied();
}

void PublicationFollower::applyChanges(const PublicationBatch &Batch, const std::string &Source) {
  if (Batch.RemovalDelay > Duration(0)) {
    this->Deps.Targets.deferRemovals(Batch.RemovalDelay, this->now());
  }
  for (const Publication &Each : Batch.Changes) {
    if (const auto *Newer = std::get_if<Configuration>(&Each)) {
      this->applyConfiguration(*Newer, Source);
    } else {
      this->Deps.Changes.onPublication(Each);
    }
  }
  this->Deps.Targets.apply(Batch, this->now());
}

void PublicationFollower::applyConfiguration(const Configuration &Newer,
                                             const std::string &Source) {
  const Configuration *Current = this->Deps.Consumer.configuration();
  const std::string CurrentVersion = Current ? std::to_string(Current->Version) : "none";
  if (Current && Newer.Version <= Current->Version) {
    logStateChange("configuration_passed_over",
                   {{"version", std::to_string(Newer.Version)}, {"in_force", CurrentVersion}});
    return;
  }
  this->Deps.Changes.onConfiguration(Newer.Version, CurrentVersion, Source, this->knownAsOf());
  this->Exchange.onConfiguration(Current, Newer);
  this->Deps.Consumer.setConfiguration(Newer);
}

void PublicationFollower::recordOutdated() {
  const bool IsOutdatedNow = isOutdated(this->knownAsOf(), this->now());
  if (!this->knownAsOf() || std::exchange(this->IsOutdated, IsOutdatedNow) == IsOutdatedNow) {
    return;
  }
  const Configuration *Current = this->Deps.Consumer.configuration();
  logStateChange(IsOutdatedNow ? "publications_outdated" : "publications_current",
                 {{"version", Current ? std::to_string(Current->Version) : "none"},
                  {"epoch", std::to_string(this->Log.position().Epoch)},
                  {"revision", std::to_string(this->Log.position().Revision)},
                  {"staleness_ms", formatStaleness(this->knownAsOf(), this->now())}});
}

void PublicationFollower::logPassedOver(const PublicationBatch &Batch) const {
  const SourcePosition &Known = this->Log.position();
  logStateChange("publications_passed_over", {{"since", std::to_string(Batch.Since)},
                                              {"epoch", std::to_string(Batch.Epoch)},
                                              {"revision", std::to_string(Batch.Revision)},
                                              {"known_epoch", std::to_string(Known.Epoch)},
                                              {"known", std::to_string(Known.Revision)}});
}

void PublicationFollower::logRestore(const SourcePosition &Before,
                                     const std::string &Source) const {
  const SourcePosition &Now = this->Log.position();
  logEvent(LogLevel::Warning, "store_restored",
           {{"source", Source},
            {"known_epoch", std::to_string(Before.Epoch)},
            {"known", std::to_string(Before.Revision)},
            {"epoch", std::to_string(Now.Epoch)},
            {"revision", std::to_string(Now.Revision)},
            {"retained", std::to_string(this->Deps.Targets.retainedCount())},
            {"postponed", std::to_string(this->Deps.Targets.postponedCount())}});
}

// Distribution to and from other entries

void PublicationFollower::applyDistribution() {
  this->applyDistributionEffects();
  this->Deps.Consumer.setKnownAsOf(this->knownAsOf());
  this->recordOutdated();
}

void PublicationFollower::applyDistributionEffects() {
  for (const DistributionEffect &Each : this->Distributor.takeEffects()) {
    std::visit([this](const auto &Value) { this->applyEffect(Value); }, Each);
  }
}

void PublicationFollower::applyEffect(const SetSourceReading &Reading) {
  logStateChange(Reading.IsEnabled ? "store_reading_started" : "store_reading_stopped",
                 {{"epoch", std::to_string(this->Log.position().Epoch)},
                  {"revision", std::to_string(this->Log.position().Revision)}});
  if (Reading.IsEnabled) {
    this->Deps.Source.activate(*this, this->Log.position(), this->Distributor.knownAsOf());
  } else {
    this->Deps.Source.deactivate();
  }
}

void PublicationFollower::applyEffect(const SendNotice &Outgoing) {
  for (const std::string &Receiver : Outgoing.Receivers) {
    this->Deps.Consumer.send(Receiver, Outgoing.Notice);
  }
}

void PublicationFollower::applyEffect(const SendNoticeRequest &Outgoing) {
  if (!std::exchange(this->IsAskingOtherRegions, true)) {
    logStateChange("other_regions_asked",
                   {{"epoch", std::to_string(this->Log.position().Epoch)},
                    {"revision", std::to_string(this->Log.position().Revision)},
                    {"staleness_ms", formatStaleness(this->knownAsOf(), this->now())}});
  }
  this->NoticeRequestCount += Outgoing.Receivers.size();
  for (const std::string &Receiver : Outgoing.Receivers) {
    this->Deps.Consumer.send(Receiver, Outgoing.Request);
  }
}

void PublicationFollower::applyEffect(const SendNoticeReply &Outgoing) {
  this->Deps.Consumer.send(Outgoing.Receiver, Outgoing.Reply);
}

void PublicationFollower::applyEffect(const FetchPublications &Fetch) {
  this->Exchange.fetch({Fetch.Entry, this->ControlPort});
}

} // namespace anvilsaddle
